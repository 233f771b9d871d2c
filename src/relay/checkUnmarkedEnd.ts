import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { EngineProbe, ProbeResult } from './EngineProbe.ts';

/** What is known of an engine whose answer ended without a mark. */
export interface UnmarkedEndProof {
  /** Whether the engine has ended the answer; otherwise it may itself have ended in the middle. */
  readonly isWhole: boolean;
  /** Result of the probe that shows it. */
  readonly result: ProbeResult;
}

/** Longest time for which a sound engine does not respond. */
const MAX_SOUND_SILENCE_MS = 1_500;

/** Probes of one engine; a sound engine may break off one of its answers, as it did before. */
const MAX_PROBES = 2;

/** Whether the process that answered a probe may be the one that an entry describes. */
function mayBeSameProcess(result: ProbeResult, { startedAtMs }: UpstreamEntry): boolean {
  return result.kind === 'answered'
    && (result.startedAtMs === null || startedAtMs === null || result.startedAtMs === startedAtMs);
}

/**
 * Finds out whether an engine has ended an answer that has neither a length nor chunks, or whether
 * the engine's process ended: the operating system closes its connections in order in both cases.
 * An engine may start again under its id and address at once, so accepting connections proves
 * nothing.
 *
 * @param probe - probes engines
 * @param entry - the entry of the engine when the request was sent
 * @returns whether the answer is whole, and what shows it
 */
export async function checkUnmarkedEnd(
  probe: EngineProbe,
  entry: UpstreamEntry,
): Promise<UnmarkedEndProof> {
  let result = await probe.probe(entry, MAX_SOUND_SILENCE_MS);
  for (let count = 1; result.kind === 'unreachable' && count < MAX_PROBES; count += 1) {
    // eslint-disable-next-line no-await-in-loop -- only after the probe before has failed
    result = await probe.probe(entry, MAX_SOUND_SILENCE_MS);
  }
  return { isWhole: mayBeSameProcess(result, entry), result };
}
