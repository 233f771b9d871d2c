import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { KnownHost } from './HostEntry.ts';
import type { ServingConfiguration } from './ServingConfiguration.ts';
import type { UpstreamEntry } from './UpstreamEntry.ts';

/** One thing that the store says has changed. */
export type DirectoryChange =
  | { readonly kind: 'configuration'; readonly configuration: ServingConfiguration }
  | { readonly kind: 'upstream'; readonly entry: UpstreamEntry }
  | { readonly kind: 'upstreamGone'; readonly upstreamId: UpstreamId }
  | { readonly kind: 'domainDrained'; readonly failureDomain: string }
  | { readonly kind: 'domainRestored'; readonly failureDomain: string }
  | { readonly kind: 'host'; readonly entry: KnownHost }
  | { readonly kind: 'hostGone'; readonly hostId: HostId }
  /** Most hosts that were ever registered at a time, as the store keeps it. */
  | { readonly kind: 'hostCount'; readonly count: number; readonly revision: number };
