import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { EngineProbe, ProbeResult } from './EngineProbe.ts';

/** Evidence on whether an answer without an end mark is whole. */
export interface UnmarkedEndProof {
  /** Whether the engine has ended the answer; otherwise it may itself have ended in the middle. */
  readonly isWhole: boolean;
  /** Result of the probe that shows it. */
  readonly result: ProbeResult;
}

/**
 * Time for a report, which an engine gives at once. It is longer than a connect may take, so that
 * only an engine that accepts connections counts as silent.
 */
const REPORT_TIMEOUT_MS = 1_500;

/** Probes of one engine; a sound engine may break off one of its answers, as it did before. */
const MAX_PROBES = 2;

/**
 * Whether a probe shows no other process than the one that an entry describes. One that accepts
 * connections and is silent counts as the same: it may stand still for a second.
 */
function mayBeSameProcess(result: ProbeResult, { startedAtMs }: UpstreamEntry): boolean {
  switch (result.kind) {
    case 'answered':
      return result.startedAtMs === null || startedAtMs === null
        || result.startedAtMs === startedAtMs;
    case 'silent':
      return true;
    case 'other':
    case 'unreachable':
      return false;
    default:
      throw exhaustiveSwitchError(result);
  }
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
  probe: Pick<EngineProbe, 'probe'>,
  entry: UpstreamEntry,
): Promise<UnmarkedEndProof> {
  let result = await probe.probe(entry, REPORT_TIMEOUT_MS);
  for (let count = 1; result.kind === 'unreachable' && count < MAX_PROBES; count += 1) {
    // eslint-disable-next-line no-await-in-loop -- only after the probe before has failed
    result = await probe.probe(entry, REPORT_TIMEOUT_MS);
  }
  return { isWhole: mayBeSameProcess(result, entry), result };
}
