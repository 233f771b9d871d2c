import { getValueAt, type DocumentProblem } from '../yaml/DocumentProblem.ts';
import { isLoopback } from './isLoopback.ts';

/**
 * Checks the rules for host settings that the schema can't express.
 *
 * @param value - the settings, which may violate the schema
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
    isSecret: false,
    message: 'peer listeners beyond loopback need a "peerKey"',
    cure: 'add "peerKey: { file: ... }" with the same key at every host, or listen on 127.0.0.1',
  }];
}
