import { getValueAt, type DocumentProblem } from '../yaml/DocumentProblem.ts';
import { isLoopback } from './isLoopback.ts';

/**
 * Finds what the schema of host settings can't express.
 *
 * @param value - the settings as they stand, possibly against the schema
 * @returns the problems
 */
export function getHostSettingsProblems(value: unknown): DocumentProblem[] {
  const peersHost = getValueAt(value, ['peers', 'host']);
  const hasPeerKey = getValueAt(value, ['peerKey']) !== undefined;
  if (typeof peersHost !== 'string' || isLoopback(peersHost) || hasPeerKey) {
    return [];
  }
  return [{
    path: ['peers', 'host'],
    key: null,
    isHidden: false,
    message: 'peers that listen beyond loopback need a "peerKey"',
    cure: 'add "peerKey: { file: ... }", the same key at every host, or listen at 127.0.0.1',
  }];
}
