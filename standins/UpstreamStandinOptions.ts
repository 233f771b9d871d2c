/** Options that all upstream stand-ins share. */
export interface UpstreamStandinOptions {
  readonly upstreamId: string;
  /** Loopback port; 0 for any free port. */
  readonly port: number;
  /** Duration of an attempt; for an engine the time to its first token. */
  readonly serviceMs: number;
  /** Price of an attempt, or of a token of an engine, in millionths of the billing currency. */
  readonly priceMicros: number;
  /** Maximum concurrent attempts of a warm stand-in. */
  readonly capacity: number;
  /** Maximum queued attempts; further ones are refused without running. */
  readonly queueLimit: number;
  /** Maximum concurrent attempts of a cold stand-in. */
  readonly coldCapacity: number;
  /** Time after its start in which the stand-in is cold; 0 if it starts warm. */
  readonly warmupMs: number;
  /** Whether an attempt beyond the cold capacity crashes the stand-in instead of being refused. */
  readonly fallsOverCold: boolean;
}

/** Defaults: a small, fast and warm upstream. */
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
