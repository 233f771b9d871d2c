import { equal, notEqual, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import type { CallKeyValueOutput } from '../core/CoreOutput.ts';
import type { KeyValueAnswer } from '../platform/KeyValueCall.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { LeaseHolder } from './LeaseHolder.ts';
import { DEFAULT_LEASE_OPTIONS } from './LeaseOptions.ts';

const STEP_MS = 50;
const { ttlMs } = DEFAULT_LEASE_OPTIONS;

class FakeStore {
  version = 0;

  value = '';

  carryOut({ call }: CallKeyValueOutput): KeyValueAnswer {
    if (call.kind !== 'compareAndSwap') {
      return this.version === 0
        ? { kind: 'missing' }
        : { kind: 'value', version: this.version, value: this.value };
    }
    if (call.expectedVersion !== this.version) {
      return { kind: 'conflict', version: this.version, value: this.value };
    }
    this.version += 1;
    this.value = call.value;
    return { kind: 'swapped', version: this.version };
  }
}

type Mode = 'fine' | 'loseAnswers' | 'down' | 'paused';

class Host {
  mode: Mode = 'fine';

  readonly context: FakeCoreContext;

  readonly lease: LeaseHolder;

  constructor(readonly store: FakeStore, clock: ManualClock, name: string, seed: number) {
    this.context = new FakeCoreContext(name, clock, seed);
    this.lease = new LeaseHolder(this.context, 'leases/test');
    this.lease.setIsWanted(true);
  }

  step(): void {
    if (this.mode === 'paused') {
      return;
    }
    this.lease.tick();
    this.context.takeOutputs().forEach((output) => {
      if (output.kind === 'callKeyValue') {
        this.answer(output);
      }
    });
  }

  answer(output: CallKeyValueOutput): void {
    const { operationId } = output;
    if (this.mode === 'down') {
      const answer = { kind: 'unavailable', detail: 'down' } as const;
      this.lease.handleKeyValueAnswer({ kind: 'keyValueAnswered', operationId, answer });
      return;
    }
    const carriedOut = this.store.carryOut(output);
    const answer = this.mode === 'loseAnswers'
      ? { kind: 'unknown', detail: 'lost' } as const
      : carriedOut;
    this.lease.handleKeyValueAnswer({ kind: 'keyValueAnswered', operationId, answer });
  }
}

class Rig {
  readonly clock = new ManualClock();

  readonly store = new FakeStore();

  readonly hosts: Host[];

  bothHeldCount = 0;

  constructor() {
    this.hosts = ['entry-a1', 'entry-a2']
      .map((name, index) => new Host(this.store, this.clock, name, index + 1));
  }

  run(durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.hosts.forEach((host) => host.step());
      const heldCount = this.hosts.filter(({ lease }) => lease.getHeld() !== null).length;
      this.bothHeldCount += heldCount > 1 ? 1 : 0;
      this.clock.advance(STEP_MS);
    }
  }

  get holder(): Host | undefined {
    return this.hosts.find(({ lease }) => lease.getHeld() !== null);
  }
}

describe('LeaseHolder', () => {
  it('grants the lease to one host, which renews it', () => {
    const rig = new Rig();
    rig.run(ttlMs * 4);
    const { holder } = rig;
    ok(holder);
    equal(holder.lease.getHeld()?.epoch, 1);
    equal(rig.bothHeldCount, 0);
  });

  const faults: readonly { name: string; mode: Mode }[] = [
    { name: 'is paused', mode: 'paused' },
    { name: 'is cut off from the platform', mode: 'down' },
    { name: 'loses the answers to its renewals', mode: 'loseAnswers' },
  ];
  faults.forEach(({ name, mode }) => {
    it(`is never held by two hosts when the holder ${name}`, () => {
      const rig = new Rig();
      rig.run(ttlMs);
      const first = rig.holder;
      ok(first);
      first.mode = mode;
      rig.run(ttlMs * 4);
      first.mode = 'fine';
      rig.run(ttlMs * 2);
      equal(rig.bothHeldCount, 0);
      ok(rig.holder);
    });
  });

  it('moves to another host under a higher epoch when the holder stops', () => {
    const rig = new Rig();
    rig.run(ttlMs);
    const first = rig.holder;
    ok(first);
    first.mode = 'paused';
    rig.run(ttlMs * 3);
    notEqual(rig.holder, first);
    equal(rig.holder?.lease.getHeld()?.epoch, 2);
  });

  it('is not held by a process that resumes after a pause of one term', () => {
    const rig = new Rig();
    rig.run(ttlMs);
    const first = rig.holder;
    ok(first);
    first.mode = 'paused';
    rig.run(ttlMs);
    equal(first.lease.getHeld(), null);
  });

  it('moves at once when the holder releases it', () => {
    const rig = new Rig();
    rig.run(ttlMs);
    const first = rig.holder;
    ok(first);
    first.lease.setIsWanted(false);
    rig.run(DEFAULT_LEASE_OPTIONS.renewPeriodMs * 2);
    ok(rig.holder);
    notEqual(rig.holder, first);
    equal(rig.bothHeldCount, 0);
  });
});
