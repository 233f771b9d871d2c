import type { DirectoryChange } from './DirectoryChange.ts';

/**
 * Orders the changes of a snapshot for their application. Drains and rollouts go first, so that no
 * upstream appears as open in between that they close; hosts go before the configuration, whose
 * version they may show as outdated.
 *
 * @param change - a change of a snapshot
 * @returns its rank; lower ranks are applied first
 */
export function getSnapshotRank(change: DirectoryChange): number {
  switch (change.kind) {
    case 'domainDrained':
    case 'rolloutOrdered':
    case 'rolloutStatus':
      return 0;
    case 'host':
      return 1;
    default:
      return 2;
  }
}
