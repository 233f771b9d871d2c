/** What kind of request a caller sends. */
export const REQUEST_KIND = {
  /** May run any number of times. */
  repeatable: 'repeatable',
  /** Runs at most once. */
  once: 'once',
  /** A stream of events, with stages before it, that may be resumed. */
  stream: 'stream',
} as const;

/** A member of {@link REQUEST_KIND}. */
export type RequestKind = typeof REQUEST_KIND[keyof typeof REQUEST_KIND];

/** What a caller has seen of one request. */
export interface CallerRecord {
  readonly requestId: string;
  readonly kind: RequestKind;
  /** Two requests of a kind with the same body are the same request, come again. */
  readonly body: string;
  readonly hostIndex: number;
  /** Whether it came at once after a refusal or a failure. */
  readonly isRetry: boolean;
  readonly sentAtMs: number;
  readonly deadlineMs: number;
  /** Null while there is no end yet. */
  endedAtMs: number | null;
  /** Null when the connection ended without an answer. */
  status: number | null;
  /** Whether the answer bears the signature of an upstream. */
  isSigned: boolean;
  /** Whether the answer's end was seen. */
  isComplete: boolean;
  answerText: string;
}

/** One run of a request, or of a piece, at an upstream. */
export interface RunRecord {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly upstreamId: string;
  readonly atMs: number;
  /** Last event that the caller had before; null for a run from its start. */
  readonly lastEventId: number | null;
  /** What was wrong with its inputs; null for nothing. */
  readonly inputFault: string | null;
  readonly account: string | null;
}

/** What arrived at a service: a request, or one piece of a stage of it. */
export const ARRIVAL_KIND = {
  whole: 'whole', generation: 'generation', piece: 'piece',
} as const;

/** A member of {@link ARRIVAL_KIND}. */
export type ArrivalKind = typeof ARRIVAL_KIND[keyof typeof ARRIVAL_KIND];

/** Something that an upstream has read whole, whether it ran it or not. */
export interface ArrivalRecord {
  readonly service: string;
  readonly kind: ArrivalKind;
  readonly requestId: string;
  /** What is sent once at best: the request, or the request with stage and piece. */
  readonly unit: string;
  readonly upstreamId: string;
  readonly atMs: number;
}

/** What an upstream said of itself in an answer. */
export interface NoticeRecord {
  readonly kind: 'leaving' | 'backOff';
  readonly upstreamId: string;
  /** The request that it answered; tells which host was told. */
  readonly requestId: string;
  readonly atMs: number;
  /** End of the back-off; infinite for one that leaves. */
  readonly untilMs: number;
}

/** What an upstream that names a limit has read whole. */
export const LIMITED_KIND = {
  request: 'request',
  /** A call for pieces of stages, whatever their number. */
  stageCall: 'stageCall',
  /** A question for its health, or results that are freed. */
  other: 'other',
} as const;

/** A member of {@link LIMITED_KIND}. */
export type LimitedKind = typeof LIMITED_KIND[keyof typeof LIMITED_KIND];

/** Something that has reached an upstream, as its limit counts it. */
export interface LimitArrival {
  readonly upstreamId: string;
  readonly kind: LimitedKind;
  /** Empty for what is no request of a caller. */
  readonly requestId: string;
  readonly atMs: number;
}

/** An answer in which an upstream named its limit. */
export interface LimitNoticeRecord {
  readonly upstreamId: string;
  readonly kind: LimitedKind;
  readonly requestId: string;
  readonly atMs: number;
}

/** A span in which an upstream named one limit. */
export interface LimitSpan {
  readonly upstreamId: string;
  readonly service: string;
  readonly requestsPerSecond: number;
  readonly fromMs: number;
  /** Infinite while it goes on. */
  untilMs: number;
}

/** The end of an upstream under a request that ends whatever runs it. */
export interface CrashRecord {
  readonly requestId: string;
  readonly upstreamId: string;
  readonly atMs: number;
}

/** Spans in which what is sent to an upstream arrives late or not at all. */
export interface LinkSpan {
  readonly upstreamId: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Spans in which a host did not run: killed, stopped or paused. */
export interface HostSpan {
  readonly hostIndex: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Spans in which the store did not answer some host as it should. */
export interface StoreSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All that callers and upstreams have seen. */
export interface SoakRecord {
  readonly callers: CallerRecord[];
  readonly runs: RunRecord[];
  readonly arrivals: ArrivalRecord[];
  readonly notices: NoticeRecord[];
  readonly crashes: CrashRecord[];
  readonly limitArrivals: LimitArrival[];
  readonly limitNotices: LimitNoticeRecord[];
  readonly limitSpans: LimitSpan[];
  readonly hostSpans: HostSpan[];
  readonly linkSpans: LinkSpan[];
  /** Spans in which the store was harmed for some host. */
  readonly storeSpans: StoreSpan[];
  /** When the last fault was over; requests sent a while later have to be served. */
  faultsEndedAtMs: number;
}
