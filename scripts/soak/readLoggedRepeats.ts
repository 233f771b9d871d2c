import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

interface LogLine {
  readonly event?: string;
  readonly outcome?: unknown;
  readonly poolId?: string;
  readonly sendIndex?: number;
  readonly pieces?: readonly unknown[];
}

/** Counts the repeated sends that a log line reports. */
function countLoggedRepeats({
  event, outcome, sendIndex, pieces,
}: LogLine): number {
  if (event === 'relay' && outcome === 'sent') {
    return (sendIndex ?? 0) > 0 ? 1 : 0;
  }
  return event === 'piecesRetried' ? pieces?.length ?? 0 : 0;
}

/** Returns null for an incomplete line, which a killed host may have left. */
function parseLine(line: string): LogLine | null {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    return null;
  }
}

/**
 * Sums the repeats that the hosts logged, to compare them with what arrived. More is logged than
 * arrives if connections are faulty; less only if a host was killed before it wrote its last
 * lines.
 *
 * @param folder - the folder with the hosts' logs
 * @returns number of repeats by service
 */
export function readLoggedRepeats(folder: string): Map<string, number> {
  const counts = new Map<string, number>();
  readdirSync(folder).filter((name) => name.endsWith('.log')).forEach((name) => {
    readFileSync(join(folder, name), 'utf8').split('\n').forEach((text) => {
      const line = parseLine(text);
      const count = line === null ? 0 : countLoggedRepeats(line);
      if (count > 0) {
        const service = line?.poolId ?? '';
        counts.set(service, (counts.get(service) ?? 0) + count);
      }
    });
  });
  return counts;
}
