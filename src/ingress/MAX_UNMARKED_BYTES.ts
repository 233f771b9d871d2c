/**
 * Size up to which the operating system takes an answer at once, so that the end of this process
 * cannot cut it. A larger one gets its length even if its upstream marked no end.
 */
export const MAX_UNMARKED_BYTES = 16_384;
