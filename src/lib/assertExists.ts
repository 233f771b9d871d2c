/**
 * Returns a value that must be present.
 *
 * @param value - the value, which may be null or undefined by its type
 * @param message - message of the error
 * @returns the value without `null` and `undefined`
 * @throws Error when the value is missing, which indicates a programming error
 */
export function assertExists<T>(value: T, message: string): NonNullable<T> {
  if (value === null || value === undefined) {
    throw new Error(message);
  }
  return value;
}
