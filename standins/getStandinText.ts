import { createHash } from 'node:crypto';

const VISIBLE_INPUT_UNITS = 400;
const DIGEST_DIGITS = 12;
const WORDS = [
  'row', 'seat', 'family', 'brief', 'pad', 'north', 'holds', 'place', 'kept', 'for', 'the', 'rig',
  'fluid', 'truck', 'evening', 'letter',
];

/**
 * Computes the digest of a text.
 *
 * @param text - the text
 * @returns the SHA-256 of the UTF-8 text, hexadecimal
 */
export function getTextDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Returns the answer of a stage pool or service. It is the same for the same input, so that a check
 * can tell which request an answer belongs to.
 *
 * @param stageId - the stage
 * @param input - the stage's input
 * @returns the stage's output
 */
export function getStageOutput(stageId: string, input: string): string {
  const digest = getTextDigest(`${stageId}\n${input}`).slice(0, DIGEST_DIGITS);
  return `${stageId}#${digest}: ${input.slice(0, VISIBLE_INPUT_UNITS)}`;
}

/**
 * Returns the tokens that an engine generates, which are the same for the same prompt.
 *
 * @param prompt - the prompt
 * @param tokenCount - the number of tokens
 * @returns the tokens, each with its trailing space
 */
export function getGeneratedTokens(prompt: string, tokenCount: number): string[] {
  const digest = getTextDigest(prompt);
  const tokens = Array.from({ length: tokenCount }, (_, index) => {
    const digit = Number.parseInt(digest[index % digest.length] ?? '0', 16);
    return `${WORDS[digit]} `;
  });
  return [`#${digest.slice(0, DIGEST_DIGITS)} `, ...tokens];
}
