/**
 * Parts of the buffer memory. Each has a share that the others can't take, so that clients which
 * fill one part can't starve the others.
 */
export const BUFFER_PART = {
  /** Bodies of requests while they are small, among them nearly all ordinary ones. */
  smallBodies: 'smallBodies',
  /** Larger bodies of requests. */
  bodies: 'bodies',
  /** Answers and events that are not complete, and answers that callers have not read. */
  answers: 'answers',
} as const;

/** A part of the buffer memory. */
export type BufferPart = typeof BUFFER_PART[keyof typeof BUFFER_PART];

/** Share of each part that the others can't take; the rest of the memory goes to any of them. */
export const RESERVED_SHARES: Readonly<Record<BufferPart, number>> = {
  [BUFFER_PART.smallBodies]: 0.1,
  [BUFFER_PART.bodies]: 0.2,
  [BUFFER_PART.answers]: 0.3,
};
