import type { FaultHost } from './FaultHost.ts';
import type { FaultWorld } from './FaultWorld.ts';

/** A fault, put in at a host where a step is about to happen. */
export interface Fault {
  readonly name: string;
  /**
   * @param world - the run
   * @param host - where the step happens
   */
  start(world: FaultWorld, host: FaultHost): void;
}

const FAULT_MS = 1500;
const FREEZE_MS = 2500;
const PLATFORM_OUTAGE_MS = 2500;
const PLACES = ['host-a', 'host-b', 'host-c', 'platform'];
const DOMAIN_PLACES = ['domain-a', 'domain-b', 'domain-c'];
const BURST_COUNT = 25;
/** After the next load reports. */
const COLD_BURST_MS = 300;

function cutFor(world: FaultWorld, cuts: readonly string[], durationMs: number): void {
  cuts.forEach((cut) => world.network.cuts.add(cut));
  world.queue.schedule(durationMs, () => cuts.forEach((cut) => world.network.cuts.delete(cut)));
}

function getBothWays(place: string, others: readonly string[]): string[] {
  return others.filter((other) => other !== place)
    .flatMap((other) => [`${place}>${other}`, `${other}>${place}`]);
}

function freeze(world: FaultWorld, host: FaultHost): void {
  const frozen = host;
  frozen.isFrozen = true;
  world.queue.schedule(FREEZE_MS, () => frozen.resume());
}

function setFor<Key extends 'platformMode' | 'messageMode'>(
  world: FaultWorld,
  key: Key,
  value: FaultWorld['network'][Key],
  normal: FaultWorld['network'][Key],
  durationMs: number,
): void {
  const { network } = world;
  network[key] = value;
  world.queue.schedule(durationMs, () => {
    network[key] = normal;
  });
}

/** Every fault of the matrix. */
export const FAULTS: readonly Fault[] = [
  { name: 'kill', start: (world, host) => world.kill(host.index) },
  { name: 'freeze and resume', start: freeze },
  {
    name: 'freeze of the duty holder past its lease',
    start: (world) => {
      const [duty] = world.hosts;
      if (duty !== undefined) {
        freeze(world, duty);
      }
    },
  },
  {
    name: 'slow upstreams',
    start: (world) => {
      const slow = world.upstreams.filter(({ failureDomainId }) => failureDomainId === 'domain-a');
      slow.forEach((upstream) => Object.assign(upstream, { isSlow: true }));
      world.queue.schedule(FAULT_MS, () => (
        slow.forEach((upstream) => Object.assign(upstream, { isSlow: false }))
      ));
    },
  },
  {
    name: 'cut between hosts',
    start: (world, host) => cutFor(
      world,
      getBothWays(host.place, PLACES.filter((place) => place !== 'platform')),
      FAULT_MS,
    ),
  },
  {
    name: 'cut between hosts, one way',
    start: (world, host) => cutFor(
      world,
      getBothWays(host.place, PLACES).filter((cut) => (
        cut.startsWith(host.place) && !cut.endsWith('platform')
      )),
      FAULT_MS,
    ),
  },
  {
    name: 'cut of the failure domain',
    start: (world, host) => cutFor(world, [
      ...getBothWays(host.place, PLACES.filter((place) => place !== 'platform')),
      ...getBothWays(host.self.failureDomainId, DOMAIN_PLACES),
    ], FAULT_MS),
  },
  {
    name: 'cut from the platform',
    start: (world, host) => cutFor(world, getBothWays(host.place, ['platform']), FAULT_MS),
  },
  {
    name: 'cut from the platform, answers only',
    start: (world, host) => cutFor(world, [`platform>${host.place}`], FAULT_MS),
  },
  {
    name: 'upstream answer lost after its effect',
    start: (world) => world.upstreams.forEach((upstream) => (
      Object.assign(upstream, { losesNextAnswer: true })
    )),
  },
  {
    name: 'platform answers lost after their effect',
    start: (world) => setFor(world, 'platformMode', 'loseAnswers', 'up', FAULT_MS),
  },
  {
    name: 'repeated messages and answers',
    start: (world) => {
      setFor(world, 'messageMode', 'repeated', 'inOrder', FAULT_MS);
      world.upstreams.forEach((upstream) => Object.assign(upstream, { repeatsAnswers: true }));
    },
  },
  {
    name: 'reordered messages',
    start: (world) => setFor(world, 'messageMode', 'reordered', 'inOrder', FAULT_MS),
  },
  {
    name: 'stale host list while a host dies',
    start: (world, host) => {
      const stale = world;
      stale.isHostListStale = true;
      stale.kill((host.index + 1) % 3);
      stale.queue.schedule(FAULT_MS, () => {
        stale.isHostListStale = false;
      });
    },
  },
  {
    name: 'platform down',
    start: (world) => setFor(world, 'platformMode', 'down', 'up', PLATFORM_OUTAGE_MS),
  },
  {
    name: 'platform slow',
    start: (world) => setFor(world, 'platformMode', 'slow', 'up', PLATFORM_OUTAGE_MS),
  },
  {
    name: 'cold without warning',
    start: (world) => world.upstreams
      .filter(({ failureDomainId }) => failureDomainId === 'domain-a')
      .forEach((upstream) => upstream.crash()),
  },
  {
    name: 'cold in a traffic burst',
    start: (world) => {
      world.upstreams.forEach((upstream) => upstream.crash());
      Array.from({ length: BURST_COUNT }, (_, index) => (
        world.queue.schedule(COLD_BURST_MS + index, () => (
          world.submit(index % 3, 'read', null, `cold-${index}`)
        ))
      ));
    },
  },
  {
    name: 'request that crashes upstreams',
    start: (world) => world.submit(1, 'read', null, 'poison'),
  },
  {
    name: 'operators racing',
    start: (world) => [0, 1, 2].forEach((index) => world.requestChange(index, 'race', {
      drain: [{ kind: 'upstream', id: `encoders-${'abc'[index] ?? 'a'}` }],
    })),
  },
  {
    name: 'traffic burst',
    start: (world) => Array.from({ length: BURST_COUNT }, (_, index) => (
      world.submit(index % 3, 'read', null, `burst-${index}`)
    )),
  },
];
