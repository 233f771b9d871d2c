import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { EngineFigures } from '../placement/EngineRoom.ts';
import type { EngineProbe } from './EngineProbe.ts';

/** Engines answer at once; after this time the placements go on without their figures. */
const TIMEOUT_MS = 500;

/**
 * @param probe - asks engines for their reports
 * @returns a function that reads what an engine holds; null when it gives no figures
 */
export function createEngineFigureReader(
  probe: EngineProbe,
): (entry: UpstreamEntry) => Promise<EngineFigures | null> {
  return async (entry) => {
    const result = await probe.probe(entry, TIMEOUT_MS);
    return (result.kind === 'answered' ? result.figures : null) ?? null;
  };
}
