import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { CrashReport } from '../quarantine/QuarantineStore.ts';
import type { SuspectId } from '../quarantine/SuspectId.ts';
import type { RolloutOrder } from '../rollouts/RolloutOrder.ts';
import type { RolloutStatus } from '../rollouts/RolloutStatus.ts';
import type { BegunStreams, PoolVersionRecord } from '../streams/StreamVersionStore.ts';
import type { EraBound } from './EraBound.ts';
import type { KnownHost } from './HostEntry.ts';
import type { ServingConfiguration } from './ServingConfiguration.ts';
import type { UpstreamEntry, UpstreamLifetime } from './UpstreamEntry.ts';
import type { AdvertisedLimit } from './AdvertisedLimitTable.ts';

/** Answer of an upstream that carried a notice. */
export interface NoticeSource {
  /** Id of the answered request, or the kind of the call. */
  readonly requestId: string;
  readonly status: number;
}

/** Source of an advertised limit: an answer of the upstream, or a report of another host. */
export type LimitSource =
  | ({ readonly kind: 'answer' } & NoticeSource)
  | { readonly kind: 'host'; readonly hostId: HostId };

/** A single change of the directory, from the store or from an upstream's notice. */
export type DirectoryChange =
  | { readonly kind: 'configuration'; readonly configuration: ServingConfiguration }
  | { readonly kind: 'upstream'; readonly entry: UpstreamEntry }
  | { readonly kind: 'upstreamGone'; readonly upstreamId: UpstreamId }
  | { readonly kind: 'domainDrained'; readonly failureDomain: string }
  | { readonly kind: 'domainRestored'; readonly failureDomain: string }
  | { readonly kind: 'host'; readonly entry: KnownHost }
  | { readonly kind: 'hostGone'; readonly hostId: HostId }
  /** Largest number of hosts ever registered at the same time, as recorded in the store. */
  | { readonly kind: 'hostCount'; readonly count: number; readonly revision: EraBound }
  /** The store came back from an older copy; what was written since then is lost. */
  | { readonly kind: 'storeEraChanged'; readonly era: number; readonly before: number }
  /** Software versions at which streams of a pool may have begun. */
  | { readonly kind: 'poolVersionRecorded'; readonly record: PoolVersionRecord }
  /** An operator orders that a pool's traffic moves to another software version. */
  | { readonly kind: 'rolloutOrdered'; readonly order: RolloutOrder }
  /** A pool has no order any more, or none that can be read. */
  | { readonly kind: 'rolloutWithdrawn'; readonly poolId: PoolId }
  /** A host has decided on an order. */
  | { readonly kind: 'rolloutStatus'; readonly status: RolloutStatus }
  /** Streams that a host began while their pool had several software versions. */
  | {
    readonly kind: 'streamsBegun';
    readonly batchId: string;
    readonly batch: readonly BegunStreams[];
  }
  /** Requests that a host had in progress at an upstream when the upstream crashed. */
  | {
    readonly kind: 'crashRecorded';
    readonly hostId: HostId;
    readonly report: CrashReport;
    readonly revision: EraBound;
  }
  /** A suspect that was at crashed upstreams has been answered. */
  | {
    readonly kind: 'suspectCleared';
    readonly suspectId: SuspectId;
    readonly revision: EraBound;
  }
  /** One host sends a request as the trial of a suspect. */
  | {
    readonly kind: 'suspectTried';
    readonly suspectId: SuspectId;
    readonly trialCount: number;
    readonly revision: EraBound;
  }
  /** The record of a suspect's trials was deleted, after an answer or by an operator. */
  | { readonly kind: 'trialsForgotten'; readonly suspectId: SuspectId }
  /** An upstream's notice that it is leaving, which counts as much as the store's entry. */
  | {
    readonly kind: 'upstreamLeaving';
    readonly lifetime: UpstreamLifetime;
    readonly source: NoticeSource;
  }
  /** An upstream asks this host for a back-off. */
  | {
    readonly kind: 'upstreamBackOff';
    readonly upstreamId: UpstreamId;
    readonly durationMs: number;
    readonly source: NoticeSource;
  }
  /** An upstream advertises a limit for all hosts together, changes it, or ends it. */
  | {
    readonly kind: 'upstreamLimit';
    readonly advertisedLimit: AdvertisedLimit;
    readonly source: LimitSource;
  };
