import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ChangeLog } from './ChangeLog.ts';

describe('ChangeLog', () => {
  it('gives all batches after a revision, in order', () => {
    const log = new ChangeLog();
    log.reset(10);
    log.append(10, 12, 'a');
    log.append(12, 13, null);
    log.append(13, 20, 'b');
    deepEqual(log.getSince(10), { kind: 'changes', revision: 20, payloads: ['a', 'b'] });
    deepEqual(log.getSince(11), { kind: 'changes', revision: 20, payloads: ['a', 'b'] });
    deepEqual(log.getSince(12), { kind: 'changes', revision: 20, payloads: ['b'] });
    deepEqual(log.getSince(20), { kind: 'changes', revision: 20, payloads: [] });
  });

  it('tells of a gap before its first revision, and never goes back behind who asks', () => {
    const log = new ChangeLog();
    deepEqual(log.getSince(1), { kind: 'gap' });
    log.reset(10);
    deepEqual(log.getSince(9), { kind: 'gap' });
    deepEqual(log.getSince(30), { kind: 'changes', revision: 30, payloads: [] });
  });

  it('starts anew where a batch does not follow the one before', () => {
    const log = new ChangeLog();
    log.reset(10);
    log.append(10, 12, 'a');
    log.append(15, 17, 'b');
    deepEqual(log.getSince(12), { kind: 'gap' });
    deepEqual(log.getSince(15), { kind: 'changes', revision: 17, payloads: ['b'] });
  });

  it('forgets the oldest batches, and says so', () => {
    const log = new ChangeLog();
    log.reset(0);
    Array.from({ length: 100 }, (_, index) => log.append(index, index + 1, `${index}`));
    deepEqual(log.getSince(0), { kind: 'gap' });
    deepEqual(log.getSince(98), { kind: 'changes', revision: 100, payloads: ['98', '99'] });
  });

  it('ends a wait when something changes', async () => {
    const log = new ChangeLog();
    log.reset(1);
    const waiting = log.waitForChangesAfter(1, 1_000_000);
    log.append(1, 2, 'a');
    await waiting;
    deepEqual(log.getSince(1), { kind: 'changes', revision: 2, payloads: ['a'] });
  });
});
