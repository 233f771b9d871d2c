/** Largest size of an answer. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Memory that a chunk takes besides its bytes; an answer may consist of one-byte chunks. */
export const CHUNK_OVERHEAD_BYTES = 200;
