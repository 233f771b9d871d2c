/**
 * Makes the error for a switch that met a member it does not handle. The `never` parameter turns a
 * forgotten case into a compile error.
 *
 * @param value - the member that no case took
 * @returns the error to throw
 */
export function exhaustiveSwitchError(value: never): Error {
  return new Error(`Unhandled case: ${JSON.stringify(value)}`);
}
