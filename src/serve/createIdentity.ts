import type { SelfIdentity } from '../core/CoreContext.ts';
import { toId } from '../lib/ids.ts';
import { SystemRandomSource } from '../lib/SystemRandomSource.ts';
import type { HostSettings } from '../settings/HostSettings.ts';

/**
 * Creates the identity of this process, with a new incarnation id.
 *
 * @param settings - settings of the host
 * @returns the identity, with the peer address from the settings
 */
export function createIdentity(settings: HostSettings): SelfIdentity {
  return {
    hostId: toId(settings.hostId),
    incarnationId: toId(new SystemRandomSource().getHexId()),
    failureDomainId: toId(settings.failureDomainId),
    peerAddress: `${settings.peers.host}:${settings.peers.port}`,
  };
}
