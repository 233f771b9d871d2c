import type { HostId, UpstreamId } from '../lib/ids.ts';
import type { CrashReport } from '../quarantine/QuarantineStore.ts';
import type { KnownHost } from './HostEntry.ts';
import type { ServingConfiguration } from './ServingConfiguration.ts';
import type { UpstreamEntry, UpstreamLifetime } from './UpstreamEntry.ts';
import type { AdvertisedLimit } from './AdvertisedLimitTable.ts';

/** The answer in which an upstream has told this host something of itself. */
export interface NoticeSource {
  /** What it answered: the request's id, or what kind of call it was. */
  readonly requestId: string;
  readonly status: number;
}

/** Who told this host of a limit: the upstream itself, or another host that it had told. */
export type LimitSource =
  | ({ readonly kind: 'answer' } & NoticeSource)
  | { readonly kind: 'host'; readonly hostId: HostId };

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
  /** Requests that a host had at an upstream when that crashed. */
  | {
    readonly kind: 'crashRecorded';
    readonly hostId: HostId;
    readonly report: CrashReport;
    readonly revision: number;
  }
  /** A request that was with crashed upstreams has been answered. */
  | {
    readonly kind: 'requestCleared';
    readonly fingerprint: string;
    readonly revision: number;
  }
  /** A request that was with crashed upstreams is sent once more, by one host of all. */
  | {
    readonly kind: 'requestTried';
    readonly fingerprint: string;
    readonly trialCount: number;
    readonly revision: number;
  }
  /** The record of a request's trials is gone, by an answer or by an operator. */
  | { readonly kind: 'trialsForgotten'; readonly fingerprint: string }
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
  }
  /** An upstream names a limit for all hosts together, changes it, or names none any more. */
  | { readonly kind: 'upstreamLimit'; readonly advertisedLimit: AdvertisedLimit; readonly source: LimitSource };
