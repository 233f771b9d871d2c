import { createHistogram, type RecordableHistogram } from 'node:perf_hooks';
import type { ClaimEvent } from '../src/claims/ClaimEvent.ts';
import { ClaimManager } from '../src/claims/ClaimManager.ts';
import { DEFAULT_CLAIM_OPTIONS, type ClaimOptions } from '../src/claims/ClaimOptions.ts';
import type { CoreOutput } from '../src/core/CoreOutput.ts';
import {
  toId, type AccountId, type IdempotencyKey, type RequestId,
} from '../src/lib/ids.ts';
import { SeededRandomSource } from '../src/lib/SeededRandomSource.ts';
import { ManualClock } from '../src/time/ManualClock.ts';
import { FakeCoreContext } from '../test/support/FakeCoreContext.ts';
import { FakeKeyValueStore } from '../test/support/FakeKeyValueStore.ts';
import type { BenchOptions, BenchReport, BenchTable } from './Bench.ts';

const HOST_COUNTS = [8, 32];
const REQUEST_RATES = [20, 100, 500, 2000];
const RUN_MS = 3000;
const PLATFORM_ONE_WAY_MS = 2;
const PEER_ONE_WAY_MS = 1;
const MAX_WRITES_PER_SECOND = 200;
const RUN_TIME_MS = 50;
const SETTLE_MS = 1500;
const OUTAGE_RATE = 100;
const OUTAGE_HOSTS = 8;
const MICROS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const ACCOUNT = toId<AccountId>('account');

type OwnerMode = 'owners' | 'each host writes' | 'one write per claim';
type KeyMode = 'caller keys, refused' | 'tickets' | 'tickets, one host of eight dies';

interface Host {
  readonly context: FakeCoreContext;
  readonly manager: ClaimManager;
  isDead: boolean;
}

interface Delayed {
  readonly atMs: number;
  run(): void;
}

/** Claim managers before one store under a manual clock, with fixed delays between them. */
class ClaimTestBed {
  readonly clock = new ManualClock(1_000_000);

  readonly store = new FakeKeyValueStore();

  readonly hosts: Host[];

  readonly counts = new Map<ClaimEvent['kind'], number>();

  readonly addedLatencyMicros: RecordableHistogram = createHistogram();

  isPlatformDown = false;

  /** Calls made while requests still arrived. */
  loadWriteCount = 0;

  loadCallCount = 0;

  readonly #delayed = new Map<number, Delayed[]>();

  readonly #requestedAtMs = new Map<RequestId, number>();

  constructor(hostCount: number, overrides: Partial<ClaimOptions>) {
    const options = {
      ...DEFAULT_CLAIM_OPTIONS, getWallMs: () => this.clock.getWallMs(), ...overrides,
    };
    this.hosts = Array.from({ length: hostCount }, (_, index) => {
      const context = new FakeCoreContext(`host-${index}`, this.clock, index + 1);
      return { context, manager: new ClaimManager(context, options), isDead: false };
    });
  }

  setOwners(hasOwners: boolean): void {
    const members = this.hosts.map(({ context: { self } }) => ({
      hostId: self.hostId, incarnationId: self.incarnationId, address: self.peerAddress,
    }));
    const ownerHostIds = Array.from({ length: DEFAULT_CLAIM_OPTIONS.shardCount }, (_, shard) => (
      hasOwners ? members[shard % members.length]?.hostId ?? null : null
    ));
    this.hosts.forEach(({ manager }) => manager.setOwners({ members, ownerHostIds }));
  }

  request(index: number, key: string, sequence: number): void {
    const requestId = toId<RequestId>(`request-${sequence}`);
    this.#requestedAtMs.set(requestId, this.clock.getMonotonicMs());
    this.hosts[index]?.manager.requestClaim({
      requestId, accountId: ACCOUNT, idempotencyKey: toId<IdempotencyKey>(key), inputDigest: 'i',
    });
  }

  advance(): void {
    this.clock.advance(1);
    const nowMs = this.clock.getMonotonicMs();
    const due = this.#delayed.get(nowMs) ?? [];
    this.#delayed.delete(nowMs);
    due.forEach((item) => item.run());
    this.hosts.filter(({ isDead }) => !isDead).forEach((host) => {
      if (host.manager.getNextWakeMs() <= nowMs) {
        host.manager.tick();
      }
      host.context.takeOutputs().forEach((output) => this.#performOutput(host, output));
      host.manager.takeEvents().forEach((event) => this.#recordEvent(host, event));
    });
  }

  #schedule(delayMs: number, run: () => void): void {
    const atMs = this.clock.getMonotonicMs() + delayMs;
    const list = this.#delayed.get(atMs) ?? [];
    list.push({ atMs, run });
    this.#delayed.set(atMs, list);
  }

  #performOutput(host: Host, output: CoreOutput): void {
    if (output.kind === 'callKeyValue') {
      const { operationId, call } = output;
      this.#schedule(PLATFORM_ONE_WAY_MS, () => {
        const answer = this.isPlatformDown
          ? { kind: 'unavailable' as const, detail: 'down' } : this.store.execute(call);
        this.#schedule(PLATFORM_ONE_WAY_MS, () => {
          host.manager.handleKeyValueAnswer({ kind: 'keyValueAnswered', operationId, answer });
        });
      });
    }
    if (output.kind === 'sendPeerMessage') {
      const target = this.hosts.find(({ context }) => context.self.hostId === output.toHostId);
      const { hostId, incarnationId } = host.context.self;
      this.#schedule(PEER_ONE_WAY_MS, () => {
        if (target?.isDead === false) {
          target.manager.handlePeerMessage(hostId, incarnationId, output.message);
        }
      });
    }
  }

  #recordEvent(host: Host, event: ClaimEvent): void {
    this.counts.set(event.kind, (this.counts.get(event.kind) ?? 0) + 1);
    if (event.kind !== 'granted') {
      return;
    }
    const askedAtMs = this.#requestedAtMs.get(event.requestId) ?? 0;
    const addedMs = this.clock.getMonotonicMs() - askedAtMs;
    this.addedLatencyMicros.record(Math.max(1, Math.round(addedMs * MICROS_PER_MS)));
    this.#schedule(RUN_TIME_MS, () => host.manager.recordOutcome(event.requestId, {
      kind: 'completed', output: 'confirmed', digest: 'd', costMicros: 1, stages: [],
    }));
  }
}

function getPercentileMs(rig: ClaimTestBed, percentile: number): number {
  return rig.addedLatencyMicros.count === 0
    ? 0 : rig.addedLatencyMicros.percentile(percentile) / MICROS_PER_MS;
}

/** Poisson arrivals, thinned to the clock's step. */
function getArrivalCount(random: SeededRandomSource, ratePerSecond: number): number {
  const mean = ratePerSecond / MS_PER_SECOND;
  let count = 0;
  let product = random.getFraction();
  const limit = Math.exp(-mean);
  while (product > limit) {
    count += 1;
    product *= random.getFraction();
  }
  return count;
}

function runLoad(
  rig: ClaimTestBed,
  random: SeededRandomSource,
  rate: number,
  getKey: (sequence: number) => string,
): number {
  let sequence = 0;
  for (let elapsedMs = 0; elapsedMs < RUN_MS + SETTLE_MS; elapsedMs += 1) {
    const count = elapsedMs < RUN_MS ? getArrivalCount(random, rate) : 0;
    for (let arrival = 0; arrival < count; arrival += 1) {
      sequence += 1;
      const alive = [...rig.hosts.keys()].filter((index) => rig.hosts[index]?.isDead === false);
      const index = alive[Math.floor(random.getFraction() * alive.length)] ?? 0;
      rig.request(index, getKey(sequence), sequence);
    }
    rig.advance();
    if (elapsedMs < RUN_MS) {
      rig.loadWriteCount = rig.store.writeCount;
      rig.loadCallCount = rig.store.callCount;
    }
  }
  return sequence;
}

function createWriteTable(seed: number): BenchTable {
  const modes: readonly OwnerMode[] = ['owners', 'each host writes', 'one write per claim'];
  const rows = HOST_COUNTS.flatMap((hostCount) => modes.flatMap((mode) => (
    REQUEST_RATES.map((rate) => {
      if (mode === 'one write per claim') {
        // Worked out, not run: a claim and an outcome, each with its own compare-and-swap.
        return [
          hostCount, mode, rate, rate, 2 * rate, 2 * rate, 2 * PLATFORM_ONE_WAY_MS, null, 1,
        ];
      }
      const rig = new ClaimTestBed(hostCount, {});
      rig.setOwners(mode === 'owners');
      const random = new SeededRandomSource(seed);
      const asked = runLoad(rig, random, rate, (sequence) => `key-${sequence}`);
      const seconds = RUN_MS / MS_PER_SECOND;
      return [
        hostCount, mode, rate, Math.round((rig.counts.get('granted') ?? 0) / seconds),
        Math.round(rig.loadWriteCount / seconds), Math.round(rig.loadCallCount / seconds),
        getPercentileMs(rig, 50), getPercentileMs(rig, 99),
        (rig.counts.get('granted') ?? 0) / asked,
      ];
    })
  )));
  return {
    title: 'Platform calls and added latency against non-repeatable requests, from a cold start',
    columns: [
      'hosts', 'mode', 'requests/s', 'granted/s', 'writes/s', 'calls/s', 'added p50 ms',
      'added p99 ms', 'share granted',
    ],
    rows,
  };
}

function createOutageTable(seed: number): BenchTable {
  const modes: readonly KeyMode[] = [
    'caller keys, refused', 'tickets', 'tickets, one host of eight dies',
  ];
  const rows = modes.map((mode) => {
    const rig = new ClaimTestBed(OUTAGE_HOSTS, {});
    rig.setOwners(true);
    const random = new SeededRandomSource(seed);
    rig.isPlatformDown = true;
    const first = rig.hosts[0];
    if (mode === 'tickets, one host of eight dies' && first !== undefined) {
      first.isDead = true;
    }
    const asked = runLoad(rig, random, OUTAGE_RATE, (sequence) => {
      const host = rig.hosts[Math.floor(random.getFraction() * OUTAGE_HOSTS)];
      return mode === 'caller keys, refused'
        ? `key-${sequence}` : host?.manager.createTicket(ACCOUNT) ?? '';
    });
    const getShare = (kind: ClaimEvent['kind']): number => (rig.counts.get(kind) ?? 0) / asked;
    return [
      mode, getShare('granted'), getShare('unavailable'), getShare('outcomeUnknown'),
      rig.store.callCount, getPercentileMs(rig, 50), getPercentileMs(rig, 99),
    ];
  });
  return {
    title: 'Platform down, 8 hosts, 100 requests/s, any host gets any request',
    columns: [
      'mode', 'served', 'refused', 'outcome unknown', 'platform calls', 'added p50 ms',
      'added p99 ms',
    ],
    rows,
  };
}

/**
 * Measures what claims cost: platform calls and added latency against the request rate, and what is
 * served while the platform is down. Runs under a manual clock with fixed one-way delays.
 *
 * @param options - the seed
 * @returns the tables
 */
export async function runClaims({ seed }: BenchOptions): Promise<BenchReport> {
  const writes = createWriteTable(seed);
  const outage = createOutageTable(seed);
  const highest = writes.rows.filter(([hosts, mode]) => hosts === 32 && mode === 'owners');
  const writesPerSecond = Number(highest.at(-1)?.[4] ?? Infinity);
  return {
    name: 'claims',
    seed,
    tables: [writes, outage],
    targets: [{
      name: 'platform writes per second at 2000 requests per second',
      target: '<= 200 (aim of the capacity page)',
      measured: writesPerSecond,
      isMet: writesPerSecond <= MAX_WRITES_PER_SECOND,
    }],
  };
}
