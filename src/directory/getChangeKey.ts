import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { DirectoryChange } from './DirectoryChange.ts';

/**
 * @param change - a change of the directory
 * @returns identifies the entry that it writes or removes
 */
export function getChangeKey(change: DirectoryChange): string {
  switch (change.kind) {
    case 'configuration':
      return 'configuration';
    case 'upstream':
      return `upstream ${change.entry.id}`;
    case 'upstreamGone':
      return `upstream ${change.upstreamId}`;
    case 'domainDrained':
    case 'domainRestored':
      return `domain ${change.failureDomain}`;
    case 'host':
      return `host ${change.entry.id}`;
    case 'hostGone':
      return `host ${change.hostId}`;
    case 'hostCount':
      return 'hostCount';
    case 'poolVersionRecorded':
      return `poolVersion ${change.record.poolId}`;
    case 'rolloutOrdered':
      return `rolloutOrder ${change.order.poolId}`;
    case 'rolloutWithdrawn':
      return `rolloutOrder ${change.poolId}`;
    case 'rolloutStatus':
      return `rolloutStatus ${change.status.poolId}`;
    case 'streamsBegun':
      return `streams ${change.batchId}`;
    case 'storeEraChanged':
      return 'storeEra';
    case 'upstreamLeaving':
      return `leaving ${change.lifetime.id}`;
    case 'upstreamBackOff':
      return `backOff ${change.upstreamId}`;
    case 'upstreamLimit':
      return `limit ${change.advertisedLimit.lifetime.id}`;
    case 'crashRecorded':
      return `crash ${change.report.crashId} ${change.hostId}`;
    case 'suspectCleared':
      return `cleared ${change.suspectId}`;
    case 'suspectTried':
    case 'trialsForgotten':
      return `trials ${change.suspectId}`;
    default:
      throw exhaustiveSwitchError(change);
  }
}
