/** The highest status of an answer (RFC 9110, section 15); one with a higher status is invalid. */
export const HIGHEST_STATUS = 599;
