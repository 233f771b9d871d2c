/**
 * Creates the error for a switch that does not handle a union member. The `never` parameter turns a
 * missing case into a compile error.
 *
 * @param value - the unhandled member
 * @returns the error to throw
 */
export function exhaustiveSwitchError(value: never): Error {
  return new Error(`Unhandled case: ${JSON.stringify(value)}`);
}
