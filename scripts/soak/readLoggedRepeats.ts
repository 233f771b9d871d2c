import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

interface LogLine {
  readonly event?: string;
  readonly outcome?: unknown;
  readonly poolId?: string;
  readonly sendIndex?: number;
  readonly pieces?: readonly unknown[];
}

/** Sends beyond the first that a line tells of. */
function countLoggedRepeats({
  event, outcome, sendIndex, pieces,
}: LogLine): number {
  if (event === 'relay' && outcome === 'sent') {
    return (sendIndex ?? 0) > 0 ? 1 : 0;
  }
  return event === 'piecesRepeated' ? pieces?.length ?? 0 : 0;
}

/** A host that was killed may have left half a line. */
function parseLine(line: string): LogLine | null {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    return null;
  }
}

/**
 * Sums up what the hosts say they have sent once more, to hold it against what arrived. More is
 * logged than arrives where connections are harmed; less only where a host was killed before its
 * last lines were written.
 *
 * @param folder - the folder with the hosts' logs
 * @returns repeats by service
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
