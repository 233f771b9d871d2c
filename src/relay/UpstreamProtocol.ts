import type { UpstreamNotice } from '../directory/UpstreamNotice.ts';
import type { CallerRequest, RequestProfile } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';

/** What is added to a caller's request for one upstream. */
export interface AttemptDetails {
  readonly upstreamId: UpstreamId;
  /** How long the upstream may work. */
  readonly remainingMs: number;
  /** Null when requests carry no keys. */
  readonly account: string | null;
  /** Rank; 0 goes first. */
  readonly priority: number;
  /** Handles of stage results. */
  readonly inputs: readonly string[];
  /** The last event that the caller has; null for a stream from its start. */
  readonly lastEventId: number | null;
}

/** How busy an upstream says it is. */
export interface ReportedLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly slots: number;
}

/** The head of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, without those that concern one connection. */
  readonly passedHeaders: readonly string[];
  /** The request that it answers; null when it does not say. */
  readonly requestId: string | null;
  /** Whether the upstream vouches that the request has not run. */
  readonly isNotRun: boolean;
  /** Whether another upstream has taken the address. */
  readonly isWrongUpstream: boolean;
  /** Whether it says where its body ends; otherwise that ends with the connection. */
  readonly isFramed: boolean;
  readonly load: ReportedLoad | null;
  readonly notice: UpstreamNotice;
}

/** How requests and answers are written down; an adapter's part. */
export interface UpstreamProtocol {
  /**
   * @param rawHeaders - names and values in turn
   * @returns what they say; null when the request has no usable id
   */
  decodeRequest(rawHeaders: readonly string[]): RequestProfile | null;
  /**
   * @param request - the caller's request
   * @param details - what is set for this upstream
   * @returns names and values in turn
   */
  encodeAttempt(request: CallerRequest, details: AttemptDetails): string[];
  /**
   * @param status - the HTTP status
   * @param rawHeaders - names and values in turn
   * @returns the decoded head
   */
  decodeAnswerHead(status: number, rawHeaders: readonly string[]): AnswerHead;
}
