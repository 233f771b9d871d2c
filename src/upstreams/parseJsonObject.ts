/**
 * Parses JSON that must be an object.
 *
 * @param text - text from an upstream
 * @returns the object's fields; null when the text is not a JSON object
 */
export function parseJsonObject(text: string): Readonly<Record<string, unknown>> | null {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null && !Array.isArray(value)
      ? value as Readonly<Record<string, unknown>>
      : null;
  } catch {
    return null;
  }
}

/**
 * Reads the cost that an upstream bills.
 *
 * @param fields - the fields of its answer, or null
 * @returns the cost in millionths of the billing currency; 0 when absent or invalid
 */
export function getCostMicros(fields: Readonly<Record<string, unknown>> | null): number {
  const cost = fields?.costMicros;
  return typeof cost === 'number' && Number.isSafeInteger(cost) && cost >= 0 ? cost : 0;
}
