import type { SelfIdentity } from '../core/CoreContext.ts';
import { toId } from '../lib/ids.ts';
import { SystemRandomSource } from '../lib/SystemRandomSource.ts';
import type { HostSettings } from '../settings/HostSettings.ts';

/**
 * Gives this process start its identity.
 *
 * @param settings - of the host
 * @returns the identity, with the peer address as the settings name it
 */
export function createIdentity(settings: HostSettings): SelfIdentity {
  return {
    hostId: toId(settings.hostId),
    incarnationId: toId(new SystemRandomSource().getHexId()),
    failureDomainId: toId(settings.failureDomainId),
    peerAddress: `${settings.peers.host}:${settings.peers.port}`,
  };
}
