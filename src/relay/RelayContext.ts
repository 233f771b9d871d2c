import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { ServingRoute } from '../directory/ServingConfiguration.ts';
import type { UpstreamNoticeHandler } from '../directory/UpstreamNoticeHandler.ts';
import type { PoolId } from '../lib/ids.ts';
import type { PermitClient } from '../rates/PermitClient.ts';
import type { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { PlacementClient } from '../placement/PlacementClient.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.ts';
import type { RequestSubject } from '../quarantine/RequestSubject.ts';
import type { AnswerMemory } from './AnswerMemory.ts';
import type { ColdStartLimiter } from './ColdStartLimiter.ts';
import type { HostShares } from './HostShares.ts';
import type { RelayMetrics } from './RelayMetrics.ts';
import type { UpstreamStateTable } from './UpstreamStateTable.ts';
import type { UpstreamProtocol } from './UpstreamProtocol.ts';

/** What all relays of a host share. */
export interface RelayContext {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly protocol: UpstreamProtocol;
  readonly connections: UpstreamConnections;
  readonly placementClient: PlacementClient;
  readonly notices: UpstreamNoticeHandler;
  readonly upstreamTable: UpstreamStateTable;
  readonly shares: HostShares;
  readonly coldStartLimiter: ColdStartLimiter;
  /** Says whether upstreams that name a limit may be sent to from here. */
  readonly rates: SendRateLimiter;
  /** Asks other hosts for leave to do so. */
  readonly permitClient: PermitClient;
  readonly quarantine: RequestQuarantine;
  readonly answerMemory: AnswerMemory;
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
  readonly failureDomain: string;
}

/** What was decided of a request before it is relayed. */
export interface RelayParameters {
  readonly route: ServingRoute;
  readonly poolId: PoolId;
  /** What it asks, whatever its id. */
  readonly subject: RequestSubject;
  /** Whether it runs once, and by leave of the quarantine only. */
  readonly isTrial: boolean;
  readonly account: string | null;
  /** Rank; 0 goes first. */
  readonly priority: number;
  /** When nobody waits any more. */
  readonly deadlineAtMs: number;
}
