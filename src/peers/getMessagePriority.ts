import type { PeerMessage } from './PeerMessage.ts';

const PRIORITY = { configuration: 0, membership: 1, other: 2 } as const;

/**
 * @param message - a message between entry hosts
 * @returns its place when a connection is short of room; lower goes first
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
