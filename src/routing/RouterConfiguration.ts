import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';

/** Configuration records that the router uses. */
export interface RouterConfiguration {
  readonly pools: readonly PoolRecord[];
  readonly upstreams: readonly UpstreamRecord[];
  readonly drains: readonly DrainRecord[];
}
