import {
  deepEqual, equal, match, ok,
} from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSampleConfiguration } from '../../test/support/createSampleConfiguration.ts';
import { toId } from '../lib/ids.ts';
import { createPlan } from './createPlan.ts';
import { getErlangC } from './getErlangC.ts';
import { getGammaCdf } from './getGammaCdf.ts';
import type { Intent } from './Intent.ts';
import type { Plan } from './Plan.ts';
import type { FleetState } from './FleetState.ts';
import { MAX_RECENT_PLANS } from './updateRecentPlans.ts';

const FACTS: FleetState = {
  hosts: [
    { hostId: 'entry-a1', failureDomainId: 'domain-a' },
    { hostId: 'entry-b1', failureDomainId: 'domain-b' },
  ],
  loads: [],
  maxValueBytes: 1_000_000,
};

const STAGE = {
  id: 'encode', poolId: 'encoders', repeatable: true, expectedMs: 1, expectedCostMicros: 1,
};

const [ACCOUNT] = createSampleConfiguration().accounts;

function plan(intent: Intent, facts = FACTS): Plan {
  return createPlan({
    planId: toId('plan-2'), intent, configuration: createSampleConfiguration(), fleetState: facts,
  });
}

interface ConflictCase {
  readonly name: string;
  readonly intent: Intent;
  readonly expected: RegExp;
}

const CONFLICT_CASES: readonly ConflictCase[] = [
  {
    name: 'a stage in an unknown pool',
    intent: {
      pipelines: [{ id: 'p', deadlineMs: 10, stages: [{ ...STAGE, poolId: 'encoder' }] }],
    },
    expected: /pipeline p, stage encode: pool encoder does not exist; did you mean encoders/,
  },
  {
    name: 'a stage id that stands twice',
    intent: { pipelines: [{ id: 'p', deadlineMs: 10, stages: [STAGE, STAGE] }] },
    expected: /pipeline p, stage encode: the id stands twice/,
  },
  {
    name: 'stages that expect more than the deadline',
    intent: { pipelines: [{ id: 'p', deadlineMs: 10, stages: [{ ...STAGE, expectedMs: 11 }] }] },
    expected: /its stages expect 11 ms, its deadline is 10 ms/,
  },
  {
    name: 'the drain of the last upstream of a pool',
    intent: {
      remove: { upstreamIds: ['engines-b', 'engines-c'] },
      drain: [{ kind: 'upstream', id: 'engines-a' }],
    },
    expected: /pool engines has no upstream in service/,
  },
  {
    name: 'the drain of an unknown upstream',
    intent: { drain: [{ kind: 'upstream', id: 'engine-a' }] },
    expected: /upstream engine-a does not exist; did you mean engines-a/,
  },
  {
    name: 'the drain of an unknown failure domain',
    intent: { drain: [{ kind: 'failureDomain', id: 'domain-x' }] },
    expected: /failureDomain domain-x does not exist/,
  },
  {
    name: 'the drain of a host that is not seen',
    intent: { drain: [{ kind: 'host', id: 'entry-a9' }] },
    expected: /host entry-a9 does not exist; did you mean entry-a1/,
  },
  {
    name: 'the drain of the last entry host',
    intent: {
      drain: [{ kind: 'host', id: 'entry-a1' }, { kind: 'failureDomain', id: 'domain-b' }],
    },
    expected: /no entry host would be in service/,
  },
  {
    name: 'a target to be drained and restored',
    intent: {
      drain: [{ kind: 'host', id: 'entry-a1' }], restore: [{ kind: 'host', id: 'entry-a1' }],
    },
    expected: /host entry-a1 is to be drained and restored/,
  },
  {
    name: 'an upstream in an unknown pool',
    intent: { remove: { poolIds: ['encoders'] } },
    expected: /upstream encoders-a: pool encoders does not exist/,
  },
  {
    name: 'the removal of what does not exist',
    intent: { remove: { accountIds: ['shul-9'] } },
    expected: /account shul-9 does not exist; did you mean shul-1/,
  },
  {
    name: 'an account with an unknown pipeline',
    intent: { accounts: [{ ...ACCOUNT!, pipelineIds: ['seatings'] }] },
    expected: /account shul-1: pipeline seatings does not exist; did you mean seating/,
  },
  {
    name: 'two accounts with one key',
    intent: { accounts: [{ ...ACCOUNT!, id: 'shul-2' }] },
    expected: /account shul-2: has the same key as account shul-1/,
  },
  {
    name: 'a cost ceiling below the expected cost',
    intent: { accounts: [{ ...ACCOUNT!, requestCostCeilingMicros: 99 }] },
    expected: /account shul-1: pipeline seating expects 100 micros, the ceiling is 99/,
  },
  {
    name: 'a cold limit above the warm one',
    intent: {
      pools: [{
        id: 'encoders',
        kind: 'stagePool',
        maxConcurrency: 1,
        coldConcurrency: 2,
        warmupMs: 1,
        checksFencing: false,
      }],
    },
    expected: /pool encoders: coldConcurrency 2 is above maxConcurrency 1/,
  },
];

describe('createPlan', () => {
  CONFLICT_CASES.forEach(({ name, intent, expected }) => {
    it(`finds a conflict in ${name}`, () => {
      match(plan(intent).conflicts.join('\n'), expected);
    });
  });

  it('reports all conflicts together', () => {
    const intent: Intent = {
      drain: [{ kind: 'upstream', id: 'nobody' }],
      remove: { accountIds: ['shul-9'], pipelineIds: ['seating'] },
    };
    equal(plan(intent).conflicts.length, 3);
  });

  it('finds a configuration that the platform can\'t store', () => {
    match(plan({}, { ...FACTS, maxValueBytes: 10 }).conflicts.join(), /the platform stores 10/);
  });

  it('lists changes, what they affect and the wanted configuration', () => {
    const {
      changes, affected, conflicts, configuration,
    } = plan({
      drain: [{ kind: 'failureDomain', id: 'domain-b' }],
      accounts: [{ ...ACCOUNT!, weight: 3, keySha256: 'b'.repeat(64) }],
    });
    deepEqual(conflicts, []);
    deepEqual(changes, [
      'change account shul-1: weight 1 -> 3, keySha256', 'drain failureDomain domain-b',
    ]);
    deepEqual(affected, [
      'host entry-b1: takes no new requests',
      'pool encoders: 3 -> 2 upstreams in service, 24 -> 16 concurrent attempts',
      'pool engines: 3 -> 2 upstreams in service, 24 -> 16 concurrent attempts',
      'pipeline seating',
      'account shul-1',
    ]);
    equal(configuration.version, 2);
    equal(configuration.planId, 'plan-2');
    deepEqual(configuration.recentPlans, [{ planId: 'plan-2', version: 2, changes }]);
  });

  it('restores what is drained and leaves the rest', () => {
    const drains = [
      { kind: 'host' as const, id: 'entry-b1' }, { kind: 'host' as const, id: 'entry-b2' },
    ];
    const restored = createPlan({
      planId: toId('plan-2'),
      intent: { restore: [{ kind: 'host', id: 'entry-b1' }] },
      configuration: { ...createSampleConfiguration(), drains },
      fleetState: FACTS,
    });
    deepEqual(restored.conflicts, []);
    deepEqual(restored.configuration.drains, [{ kind: 'host', id: 'entry-b2' }]);
  });

  it('keeps fields of a later version of the program', () => {
    const configuration = { ...createSampleConfiguration(), quotas: [1] };
    const next = createPlan({
      planId: toId('p'), intent: {}, configuration, fleetState: FACTS,
    }).configuration;
    deepEqual((next as typeof configuration).quotas, [1]);
  });

  it('bounds the list of recent plans', () => {
    let configuration = createSampleConfiguration();
    for (let index = 0; index < MAX_RECENT_PLANS + 5; index += 1) {
      const planId = toId<Plan['planId']>(`plan-${index}`);
      ({ configuration } = createPlan({
        planId, intent: {}, configuration, fleetState: FACTS,
      }));
    }
    equal(configuration.recentPlans?.length, MAX_RECENT_PLANS);
    equal(configuration.recentPlans.at(-1)?.version, configuration.version);
  });
});

describe('the prediction of a plan', () => {
  const getAttainment = (requestsPerSecond: number, intent: Intent = {}): number => {
    const loads = [{ pipelineId: 'seating', requestsPerSecond }];
    return plan(intent, { ...FACTS, loads }).predictedAttainment[0]?.fraction ?? NaN;
  };

  it('adds the expected cost of the stages', () => {
    deepEqual(plan({}).predictedCosts, [{ pipelineId: 'seating', costMicros: 100 }]);
  });

  it('falls with load and with drained capacity, to the share that capacity allows', () => {
    const light = getAttainment(1);
    ok(light > 0.999, String(light));
    // 24 attempts of 300 ms are 80 requests a second.
    const overloaded = getAttainment(160);
    ok(overloaded > 0.45 && overloaded <= 0.5, String(overloaded));
    const drain = [{ kind: 'failureDomain' as const, id: 'domain-b' }];
    ok(getAttainment(75, { drain }) < getAttainment(75));
  });

  it('uses the textbook values of Erlang C', () => {
    // One server: the probability of waiting is the utilization.
    ok(Math.abs(getErlangC(1, 0.6) - 0.6) < 1e-12);
    // Two servers with one erlang: 1/3.
    ok(Math.abs(getErlangC(2, 1) - 1 / 3) < 1e-12);
  });

  it('approximates the gamma distribution', () => {
    // Shape 4, scale 1: P(X <= 4) = 1 - e^-4 (1 + 4 + 8 + 32/3).
    const exact = 1 - Math.exp(-4) * (1 + 4 + 8 + 32 / 3);
    ok(Math.abs(getGammaCdf(4, 4, 4) - exact) < 0.01);
  });
});
