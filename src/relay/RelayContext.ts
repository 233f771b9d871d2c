import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { ServingRoute } from '../directory/ServingConfiguration.ts';
import type { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { PermitClient } from '../rates/PermitClient.ts';
import type { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { PlacementClient } from '../placement/PlacementClient.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import type { ReachabilityMonitor } from '../reachability/ReachabilityMonitor.ts';
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.ts';
import type { RequestSubject } from '../quarantine/RequestSubject.ts';
import type { Trial } from '../quarantine/Trial.ts';
import type { EngineLifetimes } from '../streams/EngineLifetimes.ts';
import type { Rollouts } from '../rollouts/Rollouts.ts';
import type { OwnQuota } from '../quotas/OwnQuota.ts';
import type { StreamVersions } from '../streams/StreamVersions.ts';
import type { AnswerMemory } from './AnswerMemory.ts';
import type { Forwarding } from './createForwarding.ts';
import type { EngineProbe } from './EngineProbe.ts';
import type { HostShares } from './HostShares.ts';
import type { RelayMetrics } from './RelayMetrics.ts';
import type { SilentEngineCheck } from './SilentEngineCheck.ts';
import type { StopDeadline } from './StopDeadline.ts';
import type { UnmarkedAnswerCheck } from './UnmarkedAnswerCheck.ts';
import type { UpstreamStateTable } from './UpstreamStateTable.ts';
import type { UpstreamProtocol } from './UpstreamProtocol.ts';

/** A relay whose request has no final answer yet. */
export interface OpenRelay {
  /** Gives the request its final answer, since the host stops. */
  endForStop(): void;
  /** Pool of the request; null when another host chooses it. */
  readonly poolId: PoolId | null;
  /** @returns the upstreams at which the request may run now */
  getRunningIds(): readonly UpstreamId[];
}

/** Dependencies that all relays of a host share. */
export interface RelayContext {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly protocol: UpstreamProtocol;
  readonly connections: UpstreamConnections;
  readonly placementClient: PlacementClient;
  readonly notices: UpstreamNoticeHandler;
  readonly upstreamTable: UpstreamStateTable;
  readonly shares: HostShares;
  readonly ownQuota: OwnQuota;
  /** Decides whether this host may send to an upstream that advertises a limit. */
  readonly rates: SendRateLimiter;
  /** Requests permits for such sends from other hosts. */
  readonly permitClient: PermitClient;
  readonly quarantine: RequestQuarantine;
  /** Knows at which software version each resumable stream began. */
  readonly streamVersions: StreamVersions;
  /** Decides which requests go to the target of a rollout. */
  readonly rollouts: Rollouts;
  /** Proves that an engine still runs as its entry says, before a stream goes on there. */
  readonly engineLifetimes: EngineLifetimes;
  /** Passes requests on to other hosts while this one reaches no upstream, and serves theirs. */
  readonly forwarding: Forwarding;
  readonly answerMemory: AnswerMemory;
  readonly stopDeadline: StopDeadline;
  readonly silentEngineCheck: SilentEngineCheck;
  /** Finds out whether an upstream has ended an answer without a mark, or has ended itself. */
  readonly unmarkedAnswerCheck: UnmarkedAnswerCheck;
  readonly engineProbe: EngineProbe;
  /** Knows whether this host reaches upstreams at all. */
  readonly reachability: ReachabilityMonitor;
  /** The relays that have started and not ended. */
  readonly openRelays: Set<OpenRelay>;
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
  readonly failureDomain: string;
}

/** Parameters of one relay, decided before it starts. */
export interface RelayParameters {
  /** Version of the configuration that decided these parameters. */
  readonly configurationVersion: number;
  readonly route: ServingRoute;
  readonly poolId: PoolId;
  /** Content of the request, independent of its id. */
  readonly subject: RequestSubject;
  /** The trial as which the quarantine admits the request, which runs only once; else null. */
  readonly trial: Trial | null;
  readonly account: string | null;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Time after which the caller no longer waits. */
  readonly deadlineAtMs: number;
}
