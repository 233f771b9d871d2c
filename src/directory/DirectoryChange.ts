import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { KnownHost } from './HostEntry.ts';
import type { ServingConfiguration } from './ServingConfiguration.ts';
import type { UpstreamEntry, UpstreamLifetime } from './UpstreamEntry.ts';

/** The answer in which an upstream has told this host something of itself. */
export interface NoticeSource {
  /** What it answered: the request's id, or what kind of call it was. */
  readonly requestId: string;
  readonly status: number;
}

/** One thing that has changed by the word of the store, or by an upstream's own. */
export type DirectoryChange =
  | { readonly kind: 'configuration'; readonly configuration: ServingConfiguration }
  | { readonly kind: 'upstream'; readonly entry: UpstreamEntry }
  | { readonly kind: 'upstreamGone'; readonly upstreamId: UpstreamId }
  | { readonly kind: 'domainDrained'; readonly failureDomain: string }
  | { readonly kind: 'domainRestored'; readonly failureDomain: string }
  | { readonly kind: 'host'; readonly entry: KnownHost }
  | { readonly kind: 'hostGone'; readonly hostId: HostId }
  /** Most hosts that were ever registered at a time, as the store keeps it. */
  | { readonly kind: 'hostCount'; readonly count: number; readonly revision: number }
  /** An upstream's own word, which is as good as the store's. */
  | {
    readonly kind: 'upstreamLeaving';
    readonly lifetime: UpstreamLifetime;
    readonly source: NoticeSource;
  }
  /** An upstream wants nothing from this host for a while. */
  | {
    readonly kind: 'upstreamBackOff';
    readonly upstreamId: UpstreamId;
    readonly durationMs: number;
    readonly source: NoticeSource;
  };
