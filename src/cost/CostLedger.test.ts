import { strict as assert } from 'node:assert';
import { describe, it } from 'node:test';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { FakeKeyValueStore } from '../../test/support/FakeKeyValueStore.ts';
import type { CoreOutput } from '../core/CoreOutput.ts';
import { toId } from '../lib/ids.ts';
import type { KeyValueAnswer } from '../platform/KeyValueCall.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { CostLedger } from './CostLedger.ts';
import { DEFAULT_COST_OPTIONS, type CostOptions } from './CostOptions.ts';
import type { CostRecord } from './CostRecord.ts';
import { createCostReport } from './createCostReport.ts';

type Delivery = 'deliver' | 'loseAnswer' | 'loseCall' | 'refuse' | 'dropMessages' | 'repeatMessages';

interface Host {
  readonly context: FakeCoreContext;
  readonly ledger: CostLedger;
  isDead: boolean;
}

const STEP_MS = 50;
const SETTLE_MS = 12_000;
const DAY_MS = 86_400_000;

/** Ledgers before one store; what is booked is added up as a bill to compare with. */
class CostBed {
  readonly clock = new ManualClock(1000);

  readonly store = new FakeKeyValueStore();

  readonly hosts: Host[];

  billedMicros = 0;

  #attemptCount = 0;

  constructor(hostCount: number, overrides: Partial<CostOptions> = {}) {
    this.hosts = Array.from({ length: hostCount }, (_, index) => {
      const context = new FakeCoreContext(`host-${index}`, this.clock, index + 1);
      const options = {
        ...DEFAULT_COST_OPTIONS, getWallMs: () => this.clock.getWallMs(), ...overrides,
      };
      return { context, ledger: new CostLedger(context, options), isDead: false };
    });
    this.setDuties(0);
  }

  setDuties(owner: number | null): void {
    const alive = this.hosts.filter(({ isDead }) => !isDead);
    const members = alive.map(({ context: { self } }) => ({
      hostId: self.hostId, incarnationId: self.incarnationId, address: self.peerAddress,
    }));
    alive.forEach(({ ledger }, index) => ledger.setDuties({
      members,
      ownerHostIds: Array.from(
        { length: DEFAULT_COST_OPTIONS.shardCount },
        () => (owner === null ? null : toId(`host-${owner}`)),
      ),
      copyHolderHostId: members[(index + 1) % members.length]?.hostId ?? null,
    }));
  }

  getHost(index: number): Host {
    const host = this.hosts[index];
    assert.ok(host !== undefined);
    return host;
  }

  book(index: number, costMicros: number, account = 'a', stage = 's'): void {
    this.#attemptCount += 1;
    this.billedMicros += costMicros;
    this.getHost(index).ledger.book({
      attemptId: toId(`attempt-${this.#attemptCount}`),
      accountId: toId(account),
      pipelineId: toId('p'),
      stageId: toId(stage),
      costMicros,
    });
  }

  kill(index: number): void {
    const host = this.getHost(index);
    host.isDead = true;
    this.hosts.filter(({ isDead }) => !isDead).forEach(({ ledger }) => {
      ledger.recordIncarnationGone(host.context.self.incarnationId);
    });
  }

  run(durationMs: number, delivery: Delivery = 'deliver'): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.#step(delivery);
    }
  }

  readTotal(index: number): number {
    let records: CostRecord[] | null = [];
    this.getHost(index).ledger.readAll((read) => {
      records = read;
    });
    this.run(STEP_MS);
    assert.ok(records !== null);
    const byStage = createCostReport(records, 'stage').totalMicros;
    assert.equal(byStage, createCostReport(records, 'account').totalMicros);
    return byStage;
  }

  #step(fate: Delivery): void {
    const alive = this.hosts.filter(({ isDead }) => !isDead);
    alive.forEach(({ ledger }) => ledger.tick());
    let isBusy = true;
    while (isBusy) {
      const outputs = alive.flatMap((host) => host.context.takeOutputs()
        .map((output) => ({ host, output })));
      outputs.forEach(({ host, output }) => this.#deliver(host, output, fate));
      isBusy = outputs.length > 0;
    }
  }

  #deliver(host: Host, output: CoreOutput, fate: Delivery): void {
    if (output.kind === 'callKeyValue') {
      const { operationId } = output;
      const answer = this.#callStore(output, fate);
      host.ledger.handleKeyValueAnswer({ kind: 'keyValueAnswered', operationId, answer });
    }
    if (output.kind === 'sendPeerMessage' && fate !== 'dropMessages') {
      const target = this.hosts.find(({ context }) => context.self.hostId === output.toHostId);
      const times = fate === 'repeatMessages' ? 2 : 1;
      for (let time = 0; time < times && target?.isDead === false; time += 1) {
        target.ledger.handlePeerMessage(host.context.self.hostId, output.message);
      }
    }
  }

  #callStore(output: Extract<CoreOutput, { kind: 'callKeyValue' }>, fate: Delivery): KeyValueAnswer {
    if (fate === 'refuse') {
      return { kind: 'unavailable', detail: 'down' };
    }
    if (fate === 'loseCall') {
      return { kind: 'unknown', detail: 'lost' };
    }
    const answer = this.store.execute(output.call);
    return fate === 'loseAnswer' ? { kind: 'unknown', detail: 'lost' } : answer;
  }
}

describe('CostLedger', () => {
  it('books an attempt once, and a later, larger bill by its difference', () => {
    const { ledger } = new CostBed(1).getHost(0);
    const cost = {
      attemptId: toId<never>('x'),
      accountId: toId<never>('a'),
      pipelineId: toId<never>('p'),
      stageId: toId<never>('s'),
    };
    [0, 7, 7, 3].forEach((costMicros) => ledger.book({ ...cost, costMicros }));
    const [record] = ledger.getOwnRecords();
    assert.equal(record?.costMicros, 7);
    assert.equal(record?.attemptCount, 1);
  });

  it('gives the same total by stage, by account and as billed', () => {
    const bed = new CostBed(3);
    Array.from({ length: 60 }, (_, index) => (
      bed.book(index % 3, index, `account-${index % 5}`, `stage-${index % 4}`)
    ));
    bed.run(3000);
    bed.hosts.forEach((_, index) => assert.equal(bed.readTotal(index), bed.billedMicros));
  });

  [2, 8, 24].forEach((hostCount) => {
    it(`makes no more platform writes with ${hostCount} hosts`, () => {
      const bed = new CostBed(hostCount);
      for (let second = 0; second < 5; second += 1) {
        bed.hosts.forEach((_, index) => bed.book(index, 1));
        bed.run(1000);
      }
      // One account lies in one shard, which is written once a second at most.
      assert.ok(bed.store.writeCount <= 6, `${bed.store.writeCount} writes`);
    });
  });

  const FAULTY_DELIVERIES: readonly Delivery[] = [
    'loseAnswer', 'loseCall', 'refuse', 'dropMessages', 'repeatMessages',
  ];
  FAULTY_DELIVERIES.forEach((fate) => {
    it(`keeps the total through: ${fate}`, () => {
      const bed = new CostBed(3);
      bed.book(0, 1);
      bed.book(1, 10);
      bed.run(5000, fate);
      bed.book(2, 100);
      bed.run(3000, fate);
      bed.run(SETTLE_MS);
      assert.equal(bed.readTotal(2), bed.billedMicros);
      bed.hosts.forEach(({ ledger }) => assert.equal(ledger.unstoredCount, 0));
    });
  });

  it('keeps what a host booked some hundred milliseconds before it died', () => {
    const bed = new CostBed(3);
    bed.book(1, 5);
    bed.run(2000);
    bed.book(1, 70);
    bed.run(250);
    bed.kill(1);
    bed.setDuties(0);
    bed.run(SETTLE_MS);
    assert.equal(bed.readTotal(2), 75);
  });

  it('keeps what was reported to an owner that died before it wrote', () => {
    const bed = new CostBed(3);
    bed.run(1000);
    bed.book(1, 5);
    bed.run(STEP_MS, 'refuse');
    bed.kill(0);
    bed.setDuties(2);
    bed.run(SETTLE_MS);
    assert.equal(bed.readTotal(2), 5);
  });

  it('writes by itself when the owner is silent', () => {
    const bed = new CostBed(3);
    bed.getHost(0).isDead = true;
    bed.book(1, 5);
    bed.run(SETTLE_MS);
    assert.equal(bed.readTotal(2), 5);
  });

  it('settles incarnations that ended long ago and passes over their late reports', () => {
    const bed = new CostBed(2);
    bed.book(0, 3);
    bed.run(3000);
    const { incarnationId } = bed.getHost(0).context.self;
    const late = bed.getHost(0).ledger.getOwnRecords();
    bed.kill(0);
    bed.setDuties(1);
    bed.clock.advance(2 * DAY_MS);
    bed.book(1, 4);
    bed.run(3000);
    const value = bed.store.getKeys().map((key) => bed.store.getValue(key) ?? '').join();
    assert.ok(value.includes('"settled":[{'));
    const shardIndex = Number(bed.store.getKeys()[0]?.split('/')[1]);
    bed.getHost(1).ledger.handlePeerMessage(toId('host-0'), {
      kind: 'costReport',
      shardIndex,
      replyAddress: 'x',
      incarnationId,
      records: late,
      sequence: 1,
    });
    bed.run(SETTLE_MS);
    assert.equal(bed.readTotal(1), 7);
  });

  it('says that the platform does not answer', () => {
    const bed = new CostBed(1);
    let records: CostRecord[] | null = [];
    bed.getHost(0).ledger.readAll((read) => {
      records = read;
    });
    bed.run(100, 'refuse');
    assert.equal(records, null);
  });
});
