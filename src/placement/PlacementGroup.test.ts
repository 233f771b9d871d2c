import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PlacementTestBed } from '../../test/support/PlacementTestBed.ts';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { findPlacementGroups } from './PlacementGroup.ts';
import { orderGroups } from './orderGroups.ts';

const SESSION_COUNT = 3_000;

function createBed(makerCount: number, engineCount = makerCount): PlacementTestBed {
  const bed = new PlacementTestBed({ first: { makers: makerCount } }, engineCount);
  bed.setStagedRoute(['first']);
  return bed;
}

describe('findPlacementGroups', () => {
  it('makes one group of a fleet with few upstreams in each failure domain', () => {
    const groups = findPlacementGroups(createBed(4).directory);
    deepEqual(groups, [{ domains: ['a', 'b', 'c'], weight: 1 }]);
  });

  it('makes a group of each failure domain with enough upstreams of every pool', () => {
    const groups = findPlacementGroups(createBed(9, 30).directory);
    deepEqual(groups.map((group) => group.domains).sort(), [['a'], ['b'], ['c']]);
  });

  it('merges a failure domain with too few upstreams into another group', () => {
    const { directory } = createBed(9);
    directory.apply({ kind: 'upstreamGone', upstreamId: toId<UpstreamId>('first-0') });
    deepEqual(
      findPlacementGroups(directory).map((group) => group.domains).sort(),
      [['a', 'b'], ['c']],
    );
  });

  it('excludes a drained failure domain', () => {
    const { directory } = createBed(9);
    directory.apply({ kind: 'domainDrained', failureDomain: 'b' });
    deepEqual(
      findPlacementGroups(directory).map((group) => group.domains).sort(),
      [['a'], ['c']],
    );
  });
});

describe('orderGroups', () => {
  it('gives each group its share of sessions, and moves only those of a removed group', () => {
    const groups = [
      { domains: ['a'], weight: 0.5 },
      { domains: ['b'], weight: 0.3 },
      { domains: ['c'], weight: 0.2 },
    ];
    const sessions = Array.from({ length: SESSION_COUNT }, (_, index) => `session-${index}`);
    const getFirst = (session: string, of = groups): string => (
      orderGroups(of, session)[0]?.domains[0] ?? '');
    groups.forEach(({ domains: [domain = ''], weight }) => {
      const share = sessions.filter((session) => getFirst(session) === domain).length;
      ok(Math.abs(share / SESSION_COUNT - weight) < 0.03, `${domain} has ${share}`);
    });
    const without = groups.slice(0, 2);
    sessions.filter((session) => getFirst(session) !== 'c').forEach((session) => {
      equal(getFirst(session, without), getFirst(session));
    });
  });
});
