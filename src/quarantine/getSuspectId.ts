import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { toId } from '../lib/ids.ts';
import { getFingerprint } from './getFingerprint.ts';
import type { Suspect } from './Suspect.ts';
import type { SuspectId } from './SuspectId.ts';

/** Begins the ids of prompt parts; ids of requests are hexadecimal. */
export const PROMPT_PART_PREFIX = 'part-';
/** Part ids that are used as they are; callers choose them, and they become keys of the store. */
const PLAIN_PART_ID = /^[0-9a-zA-Z]{1,64}$/;

/**
 * Gets the id under which crashes of a suspect are counted and stored.
 *
 * @param suspect - a request or a part of prompts
 * @returns the id; the fingerprint itself for a request
 */
export function getSuspectId(suspect: Suspect): SuspectId {
  switch (suspect.kind) {
    case 'request':
      return toId<SuspectId>(suspect.fingerprint);
    case 'promptPart': {
      const { partId } = suspect;
      const name = PLAIN_PART_ID.test(partId) ? partId : `~${getFingerprint([], partId)}`;
      return toId<SuspectId>(`${PROMPT_PART_PREFIX}${name}`);
    }
    default:
      throw exhaustiveSwitchError(suspect);
  }
}
