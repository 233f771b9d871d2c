import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type HostId, type UpstreamId } from '../lib/ids.ts';
import { getReserveShare } from './getReserveShare.ts';

const UPSTREAM_ID = toId<UpstreamId>('u');

function getShares(hostCount: number, reserveCount: number, largestCount = hostCount): number[] {
  const presentIds = Array.from({ length: hostCount }, (_, index) => toId<HostId>(`h${index}`));
  return presentIds.map((ownId) => (
    getReserveShare(UPSTREAM_ID, reserveCount, { ownId, presentIds, largestCount })));
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

describe('getReserveShare', () => {
  it('distributes at most the reserve and at least half of it, at any number of hosts', () => {
    [1, 2, 3, 6, 62, 230].forEach((hostCount) => [0, 1, 2, 5, 10, 100].forEach((reserveCount) => {
      const sum = getSum(getShares(hostCount, reserveCount));
      ok(sum <= reserveCount, `${sum} of ${reserveCount} sends to ${hostCount} hosts`);
      ok(sum * 2 >= reserveCount, `${sum} of ${reserveCount} sends to ${hostCount} hosts`);
    }));
  });

  it('does not raise the shares while other hosts are absent', () => {
    equal(getSum(getShares(2, 6, 6)), 2);
  });

  it('gives no share to a host that is not registered', () => {
    const share = getReserveShare(UPSTREAM_ID, 1, {
      ownId: toId<HostId>('new'), presentIds: [toId<HostId>('h')], largestCount: 6,
    });
    equal(share, 0);
  });
});
