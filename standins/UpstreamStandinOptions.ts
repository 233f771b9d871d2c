/** Options that all upstream stand-ins share. */
export interface UpstreamStandinOptions {
  readonly upstreamId: string;
  /** Port of the loopback interface; 0 takes a free one. */
  readonly port: number;
  /** Time that one attempt takes; for an engine the time to its first token. */
  readonly serviceMs: number;
  /** Price of an attempt, for an engine of a token, in millionths of the billing currency. */
  readonly priceMicros: number;
  /** Attempts that run at once when warm. */
  readonly capacity: number;
  /** Attempts that wait at most; more are refused without running. */
  readonly queueLimit: number;
  /** Attempts that run at once when cold. */
  readonly coldCapacity: number;
  /** How long the stand-in stays cold after its start; 0 for warm from the start. */
  readonly warmupMs: number;
  /** Whether more than the cold capacity crashes a cold stand-in; otherwise it refuses. */
  readonly fallsOverCold: boolean;
}

/** A small, fast and warm upstream. */
export const DEFAULT_UPSTREAM_STANDIN_OPTIONS: UpstreamStandinOptions = {
  upstreamId: 'upstream-1',
  port: 0,
  serviceMs: 2,
  priceMicros: 100,
  capacity: 64,
  queueLimit: 256,
  coldCapacity: 2,
  warmupMs: 0,
  fallsOverCold: true,
};
