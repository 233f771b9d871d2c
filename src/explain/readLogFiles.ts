import { createReadStream } from 'node:fs';
import { basename } from 'node:path';
import { createInterface } from 'node:readline';
import { CONTEXT_EVENTS } from './explainFromLogs.ts';
import { parseLogLine, type LogLine } from './LogLine.ts';

async function readLogFile(path: string, requestId: string): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  const reader = createInterface({ input: createReadStream(path), crlfDelay: Infinity });
  reader.on('line', (text) => {
    const line = parseLogLine(text, basename(path));
    const isRelevant = line !== null
      && (line.requestId === requestId || CONTEXT_EVENTS.has(line.event));
    if (isRelevant) {
      lines.push(line);
    }
  });
  await new Promise<void>((resolve, reject) => {
    reader.once('close', resolve);
    reader.once('error', reject);
  });
  return lines;
}

/**
 * Reads the log lines that explain a request.
 *
 * @param paths - log files of any hosts
 * @param requestId - id of the request
 * @returns the lines of the request, and all lines of {@link CONTEXT_EVENTS}
 * @throws Error when a file cannot be read
 */
export async function readLogFiles(
  paths: readonly string[],
  requestId: string,
): Promise<LogLine[]> {
  return (await Promise.all(paths.map((path) => readLogFile(path, requestId)))).flat();
}
