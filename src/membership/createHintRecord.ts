import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { HostListEntry } from '../platform/HostListEntry.ts';

/**
 * Creates the record of a host that is known only from the platform's host list, which lags.
 *
 * @param host - an entry of the list
 * @returns a record that any record from the host itself supersedes
 */
export function createHintRecord(host: HostListEntry): MemberRecord {
  return {
    hostId: host.hostId,
    incarnationId: host.incarnationId,
    failureDomainId: host.failureDomainId,
    peerAddress: host.peerAddress,
    state: host.isLeaving ? 'leaving' : 'alive',
    generation: 0,
    configurationVersion: 0,
  };
}
