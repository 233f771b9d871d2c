import { deepEqual } from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { readLoggedRepeats } from './readLoggedRepeats.ts';

describe('readLoggedRepeats', () => {
  it('sums repeated sends of all hosts and skips an incomplete line', () => {
    const folder = mkdtempSync(join(tmpdir(), 'parsleylift-logs-'));
    const sent = { event: 'relay', outcome: 'sent', poolId: 'once' };
    const lines = [
      { ...sent, sendIndex: 0 },
      { ...sent, sendIndex: 1 },
      { event: 'piecesRetried', poolId: 'stage', pieces: [1, 2, 3] },
      { event: 'stageCallEnded', outcome: { kind: 'notRun' } },
    ].map((line) => JSON.stringify(line));
    writeFileSync(join(folder, 'host-0-1.log'), lines.join('\n'));
    writeFileSync(join(folder, 'host-1-1.log'), `${lines.join('\n')}\n{"event":"rel`);
    deepEqual([...readLoggedRepeats(folder)], [['once', 2], ['stage', 6]]);
    rmSync(folder, { recursive: true });
  });
});
