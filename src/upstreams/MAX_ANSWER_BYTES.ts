/** Most that a whole answer may hold, in bytes. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** What a chunk takes beside its bytes; an answer may come in chunks of one byte each. */
export const CHUNK_OVERHEAD_BYTES = 200;
