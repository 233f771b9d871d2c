import type { UpstreamNotice } from '../directory/UpstreamNotice.ts';
import type { CallerRequest, RequestProfile } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { ForwardingOrigin } from './ForwardingOrigin.ts';

/** Values added to a caller's request for one attempt on one upstream. */
export interface AttemptDetails {
  readonly upstreamId: UpstreamId;
  /** Time left for the upstream to process the request. */
  readonly remainingMs: number;
  /** Client account; null when requests carry no keys. */
  readonly account: string | null;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Handles of stage results. */
  readonly inputs: readonly string[];
  /** Id of the last event that the caller received; null for a stream from its start. */
  readonly lastEventId: number | null;
}

/** Load that an upstream reports. */
export interface ReportedLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly slots: number;
  /** Time that work takes there at this moment, 1 as usual; null when it is not reported. */
  readonly workTimeFactor: number | null;
}

/** The head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Alternating header names and values, without hop-by-hop headers. */
  readonly passedHeaders: readonly string[];
  /** Id of the request that the answer belongs to; null when the answer names none. */
  readonly requestId: string | null;
  /** Whether it has the signature of an upstream. */
  readonly isSigned: boolean;
  /** Whether the upstream guarantees that the request has not run. */
  readonly isNotRun: boolean;
  /** Whether the address now belongs to another upstream. */
  readonly isWrongUpstream: boolean;
  readonly load: ReportedLoad | null;
  readonly notice: UpstreamNotice;
}

/** Adapter that encodes and decodes the HTTP headers of requests and answers. */
export interface UpstreamProtocol {
  /**
   * @param rawHeaders - alternating header names and values
   * @returns the decoded profile; null when the request has no valid id
   */
  decodeRequest(rawHeaders: readonly string[]): RequestProfile | null;
  /**
   * @param request - the caller's request
   * @param details - values for this attempt
   * @returns alternating header names and values
   */
  encodeAttempt(request: CallerRequest, details: AttemptDetails): string[];
  /**
   * @param request - the caller's request
   * @param remainingMs - time left until its deadline
   * @param origin - this host
   * @returns alternating header names and values for another host, which decides as for a caller
   */
  encodeForwarded(request: CallerRequest, remainingMs: number, origin: ForwardingOrigin): string[];
  /**
   * @param rawHeaders - headers of a request that another host passed on
   * @returns that host; null for one of an earlier build, which does not tell
   */
  decodeForwardingOrigin(rawHeaders: readonly string[]): ForwardingOrigin | null;
  /**
   * @param configurationVersion - version of the configuration that decided a request
   * @returns alternating names and values of headers for the host that passed the request on
   */
  encodeDecidedVersion(configurationVersion: number): string[];
  /**
   * @param rawHeaders - headers of another host's answer
   * @returns the version of the configuration that decided the request; null when it tells none
   */
  decodeDecidedVersion(rawHeaders: readonly string[]): number | null;
  /**
   * @param status - the HTTP status
   * @param rawHeaders - alternating header names and values
   * @returns the decoded head
   */
  decodeAnswerHead(status: number, rawHeaders: readonly string[]): AnswerHead;
}
