import {
  deepEqual, equal, match, ok,
} from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConfigurationFleet, UNKNOWN_PLAN_ID } from '../../test/support/ConfigurationFleet.ts';
import { createSampleConfiguration } from '../../test/support/createSampleConfiguration.ts';
import type { StoreFault } from '../../test/support/FakeConfigurationStore.ts';
import type { Intent } from '../intents/Intent.ts';
import { assertExists } from '../lib/assertExists.ts';
import type { OperatorAnswer } from '../operators/OperatorAnswer.ts';
import type { KeyValueCall } from '../platform/KeyValueCall.ts';
import { CONFIGURATION_HEAD_KEY } from './CONFIGURATION_HEAD_KEY.ts';
import { parseConfiguration } from './parseConfiguration.ts';
import type { ConfigurationRecord } from './records/ConfigurationRecord.ts';

const DRAIN: Intent = { drain: [{ kind: 'failureDomain', id: 'domain-b' }] };
const OTHER: Intent = { drain: [{ kind: 'upstream', id: 'engines-c' }] };

function createFleet(): ConfigurationFleet {
  const fleet = new ConfigurationFleet();
  const value = JSON.stringify(createSampleConfiguration(1));
  fleet.store.entries.set(CONFIGURATION_HEAD_KEY, { version: 1, value });
  fleet.add('entry-a1');
  fleet.add('entry-b1');
  fleet.advance(1000);
  fleet.sendHeartbeats();
  return fleet;
}

function getHead(fleet: ConfigurationFleet): ConfigurationRecord {
  const entry = assertExists(fleet.store.entries.get(CONFIGURATION_HEAD_KEY), 'a head');
  return assertExists(parseConfiguration(entry.value), 'a readable head');
}

function getVersion(answer: OperatorAnswer): number {
  return answer.kind === 'planAccepted' ? answer.version : 0;
}

interface FaultCase {
  readonly name: string;
  readonly faults: readonly { readonly kind: KeyValueCall['kind']; readonly fault: StoreFault }[];
  /** The answer to the first confirmation. */
  readonly expected: OperatorAnswer['kind'];
  readonly isOutcomeUnknown?: boolean;
}

const FAULT_CASES: readonly FaultCase[] = [
  { name: 'no fault', faults: [], expected: 'planAccepted' },
  {
    name: 'an answer lost after the swap took effect',
    faults: [{ kind: 'compareAndSwap', fault: 'lostAfter' }],
    expected: 'planAccepted',
  },
  {
    name: 'an answer lost before the swap took effect',
    faults: [{ kind: 'compareAndSwap', fault: 'lostBefore' }],
    expected: 'planAccepted',
  },
  {
    name: 'a lost answer and a stale read-back',
    faults: [
      { kind: 'compareAndSwap', fault: 'lostAfter' },
      // The first read is before the swap.
      { kind: 'get', fault: 'stale' }, { kind: 'get', fault: 'stale' },
    ],
    expected: 'planAccepted',
  },
  {
    name: 'a lost answer and a lost read-back',
    faults: [
      { kind: 'compareAndSwap', fault: 'lostAfter' },
      { kind: 'get', fault: 'lostBefore' }, { kind: 'get', fault: 'unavailable' },
    ],
    expected: 'planAccepted',
  },
  {
    name: 'lost answers twice, without and with effect',
    faults: [
      { kind: 'compareAndSwap', fault: 'lostBefore' },
      { kind: 'compareAndSwap', fault: 'lostAfter' },
    ],
    expected: 'planAccepted',
  },
  {
    name: 'a swap that was refused once',
    faults: [{ kind: 'compareAndSwap', fault: 'unavailable' }],
    expected: 'planAccepted',
  },
  {
    name: 'a swap that was refused again and again',
    faults: Array.from({ length: 3 }, () => (
      { kind: 'compareAndSwap', fault: 'unavailable' } as const)),
    expected: 'platformUnavailable',
    isOutcomeUnknown: false,
  },
  {
    name: 'a read that was lost again and again',
    faults: Array.from({ length: 3 }, () => ({ kind: 'get', fault: 'lostBefore' } as const)),
    expected: 'platformUnavailable',
    isOutcomeUnknown: false,
  },
  {
    name: 'a swap that took effect and was never answered',
    faults: [{ kind: 'compareAndSwap', fault: 'silent' }],
    expected: 'platformUnavailable',
    isOutcomeUnknown: true,
  },
];

describe('ConfigurationWriter', () => {
  FAULT_CASES.forEach(({
    name, faults, expected, isOutcomeUnknown,
  }) => {
    it(`confirms exactly once through ${name}`, () => {
      const fleet = createFleet();
      const [host, other] = fleet.hosts;
      ok(host && other);
      const planId = fleet.propose(host, DRAIN);
      fleet.store.faults.push(...faults);
      const answer = fleet.confirm(host, planId);
      equal(answer.kind, expected);
      if (answer.kind === 'platformUnavailable') {
        equal(answer.isOutcomeUnknown, isOutcomeUnknown);
      }
      fleet.store.faults.length = 0;
      // Confirming again, here and at another host, ends with one version and one drain.
      equal(getVersion(fleet.confirm(host, planId)), 2);
      equal(getVersion(fleet.confirm(other, planId)), 2);
      equal(getHead(fleet).version, 2);
      deepEqual(getHead(fleet).drains, DRAIN.drain);
    });
  });

  it('lets one of two racing operators win and shows the other the difference', () => {
    const fleet = createFleet();
    const [first, second] = fleet.hosts;
    ok(first && second);
    const plans = [fleet.propose(first, DRAIN), fleet.propose(second, OTHER)];
    const callIds = [first, second].map((host, index) => fleet.start(host, {
      kind: 'confirmPlan', planId: assertExists(plans[index], 'a plan'),
    }));
    fleet.advance(1000);
    const answers = callIds.map((callId) => fleet.answers.get(callId));
    deepEqual(answers.map((answer) => answer?.kind), ['planAccepted', 'planConflict']);
    const [, lost] = answers;
    ok(lost?.kind === 'planConflict');
    deepEqual([lost.baseVersion, lost.currentVersion], [1, 2]);
    deepEqual(lost.differences, [`version 2 (plan ${plans[0]}): drain failureDomain domain-b`]);
    deepEqual(getHead(fleet).drains, DRAIN.drain);
  });

  it('does not apply a plan whose lost swap another operator overtook', () => {
    const fleet = createFleet();
    const [first, second] = fleet.hosts;
    ok(first && second);
    const lostPlan = fleet.propose(first, DRAIN);
    const otherPlan = fleet.propose(second, OTHER);
    fleet.store.faults.push({ kind: 'compareAndSwap', fault: 'lostBefore' });
    const callId = fleet.start(first, { kind: 'confirmPlan', planId: lostPlan });
    fleet.settle();
    equal(fleet.answers.has(callId), false);
    equal(getVersion(fleet.confirm(second, otherPlan)), 2);
    fleet.advance(2000);
    equal(fleet.answers.get(callId)?.kind, 'planConflict');
    deepEqual(getHead(fleet).drains, OTHER.drain);
  });

  it('confirms at another host while the one that proposed is gone', () => {
    const fleet = createFleet();
    const [first, second] = fleet.hosts;
    ok(first && second);
    const planId = fleet.propose(first, DRAIN);
    fleet.hosts.shift();
    const answer = fleet.confirm(second, planId);
    ok(answer.kind === 'planAccepted');
    deepEqual([answer.inForceHostIds, answer.pendingHostIds], [['entry-b1'], []]);
  });

  it('says which hosts have not got the accepted version yet', () => {
    const fleet = createFleet();
    const [first, second] = fleet.hosts;
    ok(first && second);
    fleet.isolatedIds.add(second.hostId);
    const planId = fleet.propose(first, DRAIN);
    const answer = fleet.confirm(first, planId);
    ok(answer.kind === 'planAccepted');
    deepEqual([answer.inForceHostIds, answer.pendingHostIds], [['entry-a1'], ['entry-b1']]);
    fleet.isolatedIds.clear();
    fleet.sendHeartbeats();
    fleet.sendHeartbeats();
    const again = fleet.confirm(first, planId);
    ok(again.kind === 'planAccepted');
    deepEqual(again.pendingHostIds, []);
  });

  it('does not know a plan that nobody proposed', () => {
    const fleet = createFleet();
    equal(fleet.confirm(fleet.hosts[0]!, UNKNOWN_PLAN_ID).kind, 'planUnknown');
  });

  it('forgets a plan after its time', () => {
    const fleet = createFleet();
    const [host] = fleet.hosts;
    ok(host);
    const planId = fleet.propose(host, DRAIN);
    fleet.store.entries.delete([...fleet.store.entries.keys()].find((key) => /plans/.test(key))!);
    fleet.advance(1_000_000, 5000);
    equal(fleet.confirm(host, planId).kind, 'planUnknown');
  });

  it('does not confirm a plan with conflicts', () => {
    const fleet = createFleet();
    const [host] = fleet.hosts;
    ok(host);
    const planId = fleet.propose(host, { drain: [{ kind: 'upstream', id: 'nobody' }] });
    const answer = fleet.confirm(host, planId);
    ok(answer.kind === 'planConflict');
    match(answer.differences.join(), /upstream nobody does not exist/);
    equal(getHead(fleet).version, 1);
  });

  it('writes the first configuration of a new system', () => {
    const fleet = new ConfigurationFleet();
    const host = fleet.add('entry-a1');
    fleet.advance(1000);
    const { pools, upstreams } = createSampleConfiguration();
    const planId = fleet.propose(host, { pools, upstreams });
    equal(getVersion(fleet.confirm(host, planId)), 1);
    equal(getHead(fleet).upstreams.length, 6);
  });

  it('plans on the latest version, also before the host has adopted it', () => {
    const fleet = createFleet();
    const [first, second] = fleet.hosts;
    ok(first && second);
    fleet.isolatedIds.add(second.hostId);
    fleet.confirm(first, fleet.propose(first, DRAIN));
    equal(second.follower.getConfiguration().version, 1);
    equal(getVersion(fleet.confirm(second, fleet.propose(second, OTHER))), 3);
  });

  it('plans during an outage but accepts nothing', () => {
    const fleet = createFleet();
    const [host] = fleet.hosts;
    ok(host);
    fleet.store.isDown = true;
    const planId = fleet.propose(host, DRAIN);
    equal(fleet.confirm(host, planId).kind, 'platformUnavailable');
    fleet.store.isDown = false;
    equal(getVersion(fleet.confirm(host, planId)), 2);
  });

  it('has no plan before it has a configuration', () => {
    const fleet = new ConfigurationFleet();
    fleet.store.isDown = true;
    const host = fleet.add('entry-a1');
    const answer = fleet.call(host, { kind: 'proposeIntent', intent: DRAIN });
    equal(answer.kind, 'platformUnavailable');
  });

  it('brings a store that was set back up to the version in force', () => {
    const fleet = createFleet();
    const [host] = fleet.hosts;
    ok(host);
    const old = assertExists(fleet.store.entries.get(CONFIGURATION_HEAD_KEY), 'a head');
    fleet.confirm(host, fleet.propose(host, DRAIN));
    fleet.store.entries.set(CONFIGURATION_HEAD_KEY, old);
    equal(getVersion(fleet.confirm(host, fleet.propose(host, OTHER))), 3);
    deepEqual(getHead(fleet).drains, [...DRAIN.drain!, ...OTHER.drain!]);
  });

  it('does not replace a head that a later program wrote', () => {
    const fleet = createFleet();
    const [host] = fleet.hosts;
    ok(host);
    const planId = fleet.propose(host, DRAIN);
    const head = { version: 2, value: '{"format":2}' };
    fleet.store.entries.set(CONFIGURATION_HEAD_KEY, head);
    equal(fleet.confirm(host, planId).kind, 'platformUnavailable');
    deepEqual(fleet.store.entries.get(CONFIGURATION_HEAD_KEY), head);
  });

  it('bounds the calls that are under way', () => {
    const fleet = createFleet();
    const host = fleet.add('entry-c1', { maxCalls: 2 });
    const call = { kind: 'proposeIntent' as const, intent: DRAIN };
    const callIds = [1, 2, 3].map(() => fleet.start(host, call));
    fleet.settle();
    deepEqual(
      callIds.map((callId) => fleet.answers.get(callId)?.kind),
      ['planProposed', 'planProposed', 'platformUnavailable'],
    );
  });
});
