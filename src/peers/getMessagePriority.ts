import type { PeerMessage } from './PeerMessage.ts';

const PRIORITY = { configuration: 0, membership: 1, other: 2 } as const;

/**
 * Returns the priority of a message in the send buffer.
 *
 * @param message - a message between entry hosts
 * @returns the priority; lower numbers are sent first and dropped last
 */
export function getMessagePriority(message: PeerMessage): number {
  switch (message.kind) {
    case 'configuration':
    case 'configurationAsk':
      return PRIORITY.configuration;
    case 'heartbeat':
      return PRIORITY.membership;
    default:
      return PRIORITY.other;
  }
}
