/** Bounds of one host on what its clients can make it hold. */
export interface HostBudget {
  /** Size of the memory for buffers. */
  readonly bufferBytes: number;
  /** Largest number of connections of callers. */
  readonly maxCallerConnections: number;
  /** Largest number of connections on which other hosts pass requests on. */
  readonly maxForwardedConnections: number;
  /** Largest number of pieces of the requests that it places. */
  readonly maxHeldPieces: number;
  /** Largest number of prompt parts that it takes for cached at engines. */
  readonly maxCachedParts: number;
}

const MB = 1_000_000;
/** Fraction of the memory that the process may use at its peak. */
const PEAK_FRACTION = 0.8;
/** Resident memory of a process that serves ordinary requests, and its largest swings. */
const PROCESS_BYTES = 110 * MB;
/** What was given up stays resident until it is collected, by up to as much again. */
const RESIDENT_FACTOR = 2;
/** Holds several bodies and answers of the largest size, whatever the settings say. */
const MIN_BUFFER_BYTES = 32 * 1_024 * 1_024;
/** Fraction of the memory for the pieces of the requests that the host places. */
const PIECES_FRACTION = 0.1;
/** A piece, its call and the record of its result. */
const PIECE_BYTES = 500;
/** Fraction of the memory for the prompt parts that engines cache. */
const CACHED_PARTS_FRACTION = 0.06;
/** The id of a part and its entry in a table. */
const CACHED_PART_BYTES = 150;
/** Descriptors that the platform keeps for files. */
const FILE_FDS = 200;
/** Fractions of the other descriptors; the rest is for upstreams, peers, store and readiness. */
const CALLER_FRACTION = 0.5;
const FORWARDED_FRACTION = 0.25;
const MIN_CONNECTIONS = 32;

/**
 * Divides what a host's settings allow it.
 *
 * @param memoryBytes - memory of the process
 * @param maxFds - open descriptors of the process
 * @returns the bounds
 */
export function getHostBudget(memoryBytes: number, maxFds: number): HostBudget {
  const sockets = maxFds - FILE_FDS;
  const getConnections = (fraction: number): number => (
    Math.max(MIN_CONNECTIONS, Math.floor(sockets * fraction)));
  return {
    bufferBytes: Math.max(
      MIN_BUFFER_BYTES,
      (memoryBytes * PEAK_FRACTION - PROCESS_BYTES) / RESIDENT_FACTOR,
    ),
    maxCallerConnections: getConnections(CALLER_FRACTION),
    maxForwardedConnections: getConnections(FORWARDED_FRACTION),
    maxCachedParts: Math.floor((memoryBytes * CACHED_PARTS_FRACTION) / CACHED_PART_BYTES),
    maxHeldPieces: Math.floor((memoryBytes * PIECES_FRACTION) / PIECE_BYTES),
  };
}
