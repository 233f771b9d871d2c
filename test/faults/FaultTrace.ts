import type { RequestAnswer } from '../../src/answers/RequestAnswer.ts';

/** A request that the callers' side handed to a host. */
export interface SubmissionTrace {
  readonly requestId: string;
  readonly pipelineId: string;
  readonly key: string | null;
  readonly input: string;
  readonly hostIndex: number;
  readonly incarnationId: string;
  readonly atMs: number;
}

/** A final answer that a host gave. */
export interface AnswerTrace {
  readonly requestId: string;
  readonly answer: RequestAnswer;
  readonly atMs: number;
}

/** A part of an answer that a host streamed. */
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
  /** Attempts that ran there with this one. */
  readonly runningCount: number;
  /** How long the upstream had been up; it is cold for a while after its start. */
  readonly uptimeMs: number;
}

/** A change of the configuration that an operator was told is accepted. */
export interface AcceptedTrace {
  readonly change: 'drainUpstream' | 'drainDomain' | 'race';
  readonly version: number;
  readonly atMs: number;
}

/** A version that came into force at a host. */
export interface VersionTrace {
  readonly incarnationId: string;
  readonly version: number;
  readonly atMs: number;
}

/** A planned stop. */
export interface StopTrace {
  readonly incarnationId: string;
  readonly requestedAtMs: number;
  /** Null when the host never ended it. */
  readonly stoppedAtMs: number | null;
  /** Whether the host died by a fault meanwhile, so that the stop could not end. */
  readonly wasKilled: boolean;
}

/** Everything that callers, upstreams and operators saw in one run. */
export interface FaultTrace {
  readonly submissions: SubmissionTrace[];
  readonly answers: AnswerTrace[];
  readonly chunks: ChunkTrace[];
  readonly arrivals: ArrivalTrace[];
  readonly accepted: AcceptedTrace[];
  readonly versions: VersionTrace[];
  readonly stops: StopTrace[];
  /** Incarnations that a fault killed, and when. */
  readonly killed: Map<string, number>;
  /** What upstreams billed, and what hosts booked. */
  billedMicros: number;
  bookedMicros: number;
  /** When the run ended. */
  endMs: number;
}

/**
 * @returns a trace of nothing
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
