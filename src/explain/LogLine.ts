/** One line of a host's log. */
export interface LogLine {
  /** Name of the log file. */
  readonly source: string;
  /** Wall time of the line. */
  readonly atMs: number;
  readonly event: string;
  /** The request that the line concerns; null for none. */
  readonly requestId: string | null;
  /** All other fields. */
  readonly details: Readonly<Record<string, unknown>>;
}

/** Fields that every line has or that {@link LogLine} holds outside `details`. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'msg', 'event', 'requestId']);

/**
 * Parses a line of a host's log, with or without a prefix before the JSON object.
 *
 * @param text - text of the line
 * @param source - name of the log file
 * @returns the line; null when the text is no line of a host's log
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
    // A log may be truncated, and other programs may write to it.
    return null;
  }
}
