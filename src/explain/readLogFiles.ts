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
    const isOfUse = line !== null
      && (line.requestId === requestId || CONTEXT_EVENTS.has(line.event));
    if (isOfUse) {
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
 * @param paths - log files of any hosts
 * @param requestId - the request that is asked about
 * @returns the lines that name it, and those that tell what changed around it
 * @throws Error when a file cannot be read
 */
export async function readLogFiles(
  paths: readonly string[],
  requestId: string,
): Promise<LogLine[]> {
  return (await Promise.all(paths.map((path) => readLogFile(path, requestId)))).flat();
}
