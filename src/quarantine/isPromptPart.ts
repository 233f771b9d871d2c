import { PROMPT_PART_PREFIX } from './getSuspectId.ts';
import type { SuspectId } from './SuspectId.ts';

/**
 * @param suspectId - id of a suspect
 * @returns whether the suspect is a part of prompts
 */
export function isPromptPart(suspectId: SuspectId): boolean {
  return suspectId.startsWith(PROMPT_PART_PREFIX);
}
