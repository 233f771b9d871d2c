/**
 * Returns a value that the caller knows to be present.
 *
 * @param value - the value which may be missing
 * @param message - what was expected, for the error
 * @returns the value without `null` and `undefined`
 * @throws Error when the value is missing, which is a programming error
 */
export function assertExists<T>(value: T, message: string): NonNullable<T> {
  if (value === null || value === undefined) {
    throw new Error(message);
  }
  return value;
}
