import { MembershipTestBed, type TestMember } from '../test/support/MembershipTestBed.ts';
import type { BenchCell, BenchOptions, BenchReport } from './Bench.ts';

const MS_PER_S = 1000;
const S_PER_HOUR = 3600;
const DEFAULT_HOST_COUNTS = '24,96,330';
const DEFAULT_LOSSES = '0,0.01,0.05';
const DOMAIN_COUNT = 6;
const DEFAULT_JOIN_S = 30;
const QUIET_MS = 60_000;
const STEP_MS = 100;
const KILL_COUNT = 6;
const DETECTION_TIMEOUT_MS = 120_000;

function countEvents(bed: MembershipTestBed, state: string): number {
  return bed.members.flatMap(({ events }) => events)
    .filter((event) => event.kind === 'memberChanged' && event.member.state === state).length;
}

function isKnownDead(observer: TestMember, subject: TestMember): boolean {
  return observer.events.some((event) => event.kind === 'memberChanged'
    && event.member.hostId === subject.hostId && event.member.state === 'dead');
}

/** Kills hosts of different domains together; gives the time until the observers know of each. */
function measureDetection(bed: MembershipTestBed): { first: number[]; everywhere: number[] } {
  const killed = bed.members.slice(0, KILL_COUNT);
  const observers = bed.members.slice(KILL_COUNT);
  const first = new Map<TestMember, number>();
  const everywhere = new Map<TestMember, number>();
  killed.forEach((member) => {
    Object.assign(member, { isRunning: false });
  });
  for (let elapsedMs = 0; elapsedMs < DETECTION_TIMEOUT_MS && everywhere.size < KILL_COUNT;) {
    bed.run(STEP_MS);
    elapsedMs += STEP_MS;
    killed.forEach((subject) => {
      const informedCount = observers.filter((observer) => isKnownDead(observer, subject)).length;
      if (informedCount > 0 && !first.has(subject)) {
        first.set(subject, elapsedMs);
      }
      if (informedCount === observers.length && !everywhere.has(subject)) {
        everywhere.set(subject, elapsedMs);
      }
    });
  }
  return { first: [...first.values()], everywhere: [...everywhere.values()] };
}

function runCase(
  hostCount: number,
  lossFraction: number,
  seed: number,
  joinMs: number,
): BenchCell[] {
  const bed = new MembershipTestBed({
    hostCount, domainCount: DOMAIN_COUNT, seed, lossFraction, isEncoding: true,
  });
  bed.run(joinMs);
  bed.members.forEach(({ events }) => events.splice(0));
  bed.resetCounts();
  const cpuBefore = process.cpuUsage();
  bed.run(QUIET_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const hostSeconds = (hostCount * QUIET_MS) / MS_PER_S;
  const quiet = [
    (countEvents(bed, 'suspect') * S_PER_HOUR) / hostSeconds / hostCount,
    (countEvents(bed, 'dead') * S_PER_HOUR) / hostSeconds / hostCount,
    bed.messageCount / hostSeconds,
    bed.sentBytes / hostSeconds,
    (cpu.user + cpu.system) / hostSeconds / MS_PER_S,
  ].map((value) => Number(value.toFixed(3)));
  bed.members.forEach(({ events }) => events.splice(0));
  const detection = measureDetection(bed);
  return [
    hostCount, lossFraction, ...quiet,
    Math.max(...detection.first), Math.max(...detection.everywhere),
    detection.everywhere.length === KILL_COUNT,
  ];
}

/**
 * Runs many memberships in one process under a manual clock, messages passed in memory.
 *
 * @param options - `--hosts 24,96,330`, `--losses 0,0.01,0.05`, `--join 30` seconds until the
 *   views are expected to agree
 * @returns one row per fleet size and loss
 */
export async function runMembership(options: BenchOptions): Promise<BenchReport> {
  const hostCounts = (options.flags.get('hosts') ?? DEFAULT_HOST_COUNTS).split(',').map(Number);
  const losses = (options.flags.get('losses') ?? DEFAULT_LOSSES).split(',').map(Number);
  const joinMs = Number(options.flags.get('join') ?? DEFAULT_JOIN_S) * MS_PER_S;
  const rows = hostCounts.flatMap((hostCount) => (
    losses.map((loss) => runCase(hostCount, loss, options.seed, joinMs))));
  return {
    name: 'membership',
    seed: options.seed,
    tables: [{
      title: 'Membership in memory, 6 failure domains, manual clock',
      columns: [
        'hosts', 'message loss', 'suspicions of a live host per observer and hour',
        'deaths of a live host per observer and hour', 'messages/s per host', 'bytes/s per host',
        'CPU ms/s per host, encoding included', 'death known first, max ms',
        'death known everywhere, max ms', 'all known',
      ],
      rows,
    }],
    targets: [],
  };
}
