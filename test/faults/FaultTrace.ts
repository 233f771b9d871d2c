import type { RequestAnswer } from '../../src/answers/RequestAnswer.ts';

/** A request that a caller submitted to a host. */
export interface SubmissionTrace {
  readonly requestId: string;
  readonly pipelineId: string;
  readonly key: string | null;
  readonly input: string;
  readonly hostIndex: number;
  readonly incarnationId: string;
  readonly atMs: number;
}

/** A final answer from a host. */
export interface AnswerTrace {
  readonly requestId: string;
  readonly answer: RequestAnswer;
  readonly atMs: number;
}

/** A streamed part of an answer. */
export interface ChunkTrace {
  readonly requestId: string;
  readonly offset: number;
  readonly text: string;
}

/** An attempt that reached an upstream. */
export interface ArrivalTrace {
  readonly requestId: string;
  readonly key: string | null;
  readonly stageId: string;
  readonly upstreamId: string;
  readonly failureDomainId: string;
  readonly atMs: number;
  /** Attempts running at the upstream, including this one. */
  readonly runningCount: number;
  /** Time since the start of the upstream, which is cold at first. */
  readonly uptimeMs: number;
}

/** A configuration change whose acceptance an operator was informed of. */
export interface AcceptedTrace {
  readonly change: 'drainUpstream' | 'drainDomain' | 'race';
  readonly version: number;
  readonly atMs: number;
}

/** A configuration version that came into force at a host. */
export interface VersionTrace {
  readonly incarnationId: string;
  readonly version: number;
  readonly atMs: number;
}

/** A planned stop of a host. */
export interface StopTrace {
  readonly incarnationId: string;
  readonly requestedAtMs: number;
  /** Null when the stop never completed. */
  readonly stoppedAtMs: number | null;
  /** Whether a fault killed the host, so that the stop could not complete. */
  readonly wasKilled: boolean;
}

/** Everything that callers, upstreams and operators observed in one run. */
export interface FaultTrace {
  readonly submissions: SubmissionTrace[];
  readonly answers: AnswerTrace[];
  readonly chunks: ChunkTrace[];
  readonly arrivals: ArrivalTrace[];
  readonly accepted: AcceptedTrace[];
  readonly versions: VersionTrace[];
  readonly stops: StopTrace[];
  /** Times at which faults killed incarnations. */
  readonly killed: Map<string, number>;
  /** Cost that upstreams billed, and cost that hosts booked. */
  billedMicros: number;
  bookedMicros: number;
  /** End of the run. */
  endMs: number;
}

/**
 * @returns an empty trace
 */
export function createFaultTrace(): FaultTrace {
  return {
    submissions: [],
    answers: [],
    chunks: [],
    arrivals: [],
    accepted: [],
    versions: [],
    stops: [],
    killed: new Map(),
    billedMicros: 0,
    bookedMicros: 0,
    endMs: 0,
  };
}
