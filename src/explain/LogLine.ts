/** One line of a host's log. */
export interface LogLine {
  /** Where it was read. */
  readonly source: string;
  /** Wall time at which it was written. */
  readonly atMs: number;
  readonly event: string;
  /** The request that it is about; null for none. */
  readonly requestId: string | null;
  /** All other fields. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** Fields that every line has, or that stand in a field of {@link LogLine}. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'msg', 'event', 'requestId']);

/**
 * @param text - a line
 * @param source - where it was read
 * @returns the line; null when it is no line of a host's log
 */
export function parseLogLine(text: string, source: string): LogLine | null {
  const start = text.indexOf('{');
  if (start < 0) {
    return null;
  }
  try {
    const fields = JSON.parse(text.slice(start)) as Readonly<Record<string, unknown>>;
    if (typeof fields.time !== 'number' || typeof fields.event !== 'string') {
      return null;
    }
    const details = Object.entries(fields).filter(([name]) => !COMMON_FIELDS.has(name));
    return {
      source,
      atMs: fields.time,
      event: fields.event,
      requestId: typeof fields.requestId === 'string' ? fields.requestId : null,
      details: Object.fromEntries(details),
    };
  } catch {
    // Logs are cut at their ends, and other programs write into them.
    return null;
  }
}
