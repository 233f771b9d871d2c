/** Kinds of requests that callers send. */
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

/** Result of one request as its caller observed it. */
export interface CallerRecord {
  readonly requestId: string;
  readonly kind: RequestKind;
  /** Requests of one kind with the same body count as one request sent repeatedly. */
  readonly body: string;
  readonly hostIndex: number;
  /** Whether it is an immediate retry after a refusal or a failure. */
  readonly isRetry: boolean;
  readonly sentAtMs: number;
  readonly deadlineMs: number;
  /** Null while the request has not ended. */
  endedAtMs: number | null;
  /** Null if the connection ended without an answer. */
  status: number | null;
  /** Whether the answer has the signature of an upstream. */
  isSigned: boolean;
  /** Whether the answer was received to its end. */
  isComplete: boolean;
  answerText: string;
}

/** One run of a request, or of a piece, at an upstream. */
export interface RunRecord {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly upstreamId: string;
  /** Method and path of the call that started it. */
  readonly call: string;
  readonly atMs: number;
  /** Last event that the caller had already received; null for a run from the start. */
  readonly lastEventId: number | null;
  /** Description of wrong inputs; null if they are correct. */
  readonly inputFault: string | null;
  readonly account: string | null;
}

/** Kinds of arrivals at a service: a request, or one piece of one of its stages. */
export const ARRIVAL_KIND = {
  whole: 'whole', generation: 'generation', piece: 'piece',
} as const;

/** A member of {@link ARRIVAL_KIND}. */
export type ArrivalKind = typeof ARRIVAL_KIND[keyof typeof ARRIVAL_KIND];

/** Request or piece that an upstream has read completely, whether or not it ran it. */
export interface ArrivalRecord {
  readonly service: string;
  readonly kind: ArrivalKind;
  readonly requestId: string;
  /** Unit of work that ideally arrives once: the request, or the request with stage and piece. */
  readonly unit: string;
  readonly upstreamId: string;
  readonly atMs: number;
}

/** Notice that an upstream added to an answer. */
export interface NoticeRecord {
  readonly kind: 'leaving' | 'backOff';
  readonly upstreamId: string;
  /** The answered request; identifies the host that got the notice. */
  readonly requestId: string;
  readonly atMs: number;
  /** End of the back-off; infinite for an upstream that leaves. */
  readonly untilMs: number;
}

/** Kinds of arrivals at an upstream, as its advertised limit distinguishes them. */
export const LIMITED_KIND = {
  request: 'request',
  /** A call that runs any number of pieces of stages. */
  stageCall: 'stageCall',
  /** A health check, or a call that releases results. */
  other: 'other',
} as const;

/** A member of {@link LIMITED_KIND}. */
export type LimitedKind = typeof LIMITED_KIND[keyof typeof LIMITED_KIND];

/** Arrival at an upstream, with the kind that decides whether the limit counts it. */
export interface LimitArrival {
  readonly upstreamId: string;
  readonly kind: LimitedKind;
  /** Empty if the arrival is not a request of a caller. */
  readonly requestId: string;
  readonly atMs: number;
}

/** Answer in which an upstream advertised its limit. */
export interface LimitNoticeRecord {
  readonly upstreamId: string;
  readonly kind: LimitedKind;
  readonly requestId: string;
  readonly atMs: number;
}

/** Span in which an upstream advertised one limit. */
export interface LimitSpan {
  readonly upstreamId: string;
  readonly service: string;
  readonly requestsPerSecond: number;
  readonly fromMs: number;
  /** Infinite until the span ends. */
  untilMs: number;
}

/** Crash of an upstream while it ran a crashing request. */
export interface CrashRecord {
  readonly requestId: string;
  readonly upstreamId: string;
  readonly atMs: number;
}

/** Span in which data sent to an upstream arrives late or not at all. */
export interface LinkSpan {
  readonly upstreamId: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Span in which a host did not run because it was killed, stopped or paused. */
export interface HostSpan {
  readonly hostIndex: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Span in which the store did not answer correctly. */
export interface StoreSpan {
  /** The only host that it concerned; null if it concerned all. */
  readonly hostIndex: number | null;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** One version of the configuration, and what only it allows. */
export interface ConfigurationRecord {
  readonly version: number;
  /** Key that callers have in this version only. */
  readonly key: string;
  /** Pool to which it sends the requests of the route that moves with each version. */
  readonly movedPool: RequestKind;
  readonly ackedAtMs: number;
}

/** Request whose handling tells which version of the configuration decided. */
export interface ProbeRecord {
  /** With the newest key, with the one of the version before, or on the route that moves. */
  readonly kind: 'currentKey' | 'formerKey' | 'movedRoute';
  /** Version that the probe is about. */
  readonly version: number;
  readonly caller: CallerRecord;
}

/** Everything that callers and upstreams observed in a run. */
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
  /** Spans in which the store was faulty for some host. */
  readonly storeSpans: StoreSpan[];
  /** The versions of the configuration, the oldest first. */
  readonly configurations: ConfigurationRecord[];
  readonly probes: ProbeRecord[];
  /** End of the last fault; requests sent some time later have to be served. */
  faultsEndedAtMs: number;
}
