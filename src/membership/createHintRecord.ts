import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { HostListEntry } from '../platform/HostListEntry.ts';

/**
 * @param host - an entry of the platform's lagging host list
 * @returns a record that every statement of the host itself outranks
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
