import { CONTACT_MS } from './measureCrashes.ts';
import type {
  CallerRecord, ConfigurationRecord, ProbeRecord, RunRecord, SoakRecord,
} from './SoakRecord.ts';

/**
 * Time after its ack in which a version of the configuration has to be in force; the hosts'
 * settings contain the same value.
 */
export const CONFIG_APPLY_MS = 2_400;
/** Refusals by which a configuration that lacks a route or a key is told. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([401, 403, 404]);

/** A probe that was handled as only an older version allows. */
export interface ConfigurationViolation {
  readonly requestId: string;
  readonly detail: string;
}

function getEndMs({ sentAtMs, deadlineMs, endedAtMs }: CallerRecord): number {
  return endedAtMs ?? sentAtMs + deadlineMs;
}

/** Whether the host of a request ran and could follow the store all the while, and before. */
function isInTouch({ hostSpans, storeSpans }: SoakRecord, caller: CallerRecord): boolean {
  const isDisturbance = ({ fromMs, untilMs }: { fromMs: number; untilMs: number }): boolean => (
    fromMs <= getEndMs(caller) && untilMs >= caller.sentAtMs - CONTACT_MS);
  return !hostSpans.some((span) => span.hostIndex === caller.hostIndex && isDisturbance(span))
    && !storeSpans.some((span) => (
      (span.hostIndex ?? caller.hostIndex) === caller.hostIndex && isDisturbance(span)));
}

/** The versions by which a request may be decided: the one in force when it was sent, and later. */
function getAllowed(
  configurations: readonly ConfigurationRecord[],
  caller: CallerRecord,
): ConfigurationRecord[] {
  const inForce = configurations.findLastIndex(({ ackedAtMs }) => (
    ackedAtMs <= caller.sentAtMs - CONFIG_APPLY_MS));
  return configurations
    .slice(Math.max(0, inForce))
    .filter(({ ackedAtMs }) => ackedAtMs <= getEndMs(caller));
}

function isRefused({ status, isSigned }: CallerRecord): boolean {
  return !isSigned && status !== null && REFUSAL_STATUSES.has(status);
}

/** @returns what only a version that is not allowed any more says of the probe; null for nothing */
function findFault(
  { kind, version, caller }: ProbeRecord,
  allowed: readonly ConfigurationRecord[],
  runs: readonly RunRecord[],
): string | null {
  const isAllowed = allowed.some((configuration) => configuration.version === version);
  switch (kind) {
    case 'formerKey':
      return runs.length > 0 && !isAllowed ? `ran with the key of version ${version}` : null;
    case 'currentKey':
      return isRefused(caller) && isAllowed && allowed.length === 1
        ? `${caller.status} with the key of version ${version}`
        : null;
    default: {
      const wrong = runs.find((run) => !allowed.some(({ movedPool }) => movedPool === run.kind));
      if (isRefused(caller)) {
        return `${caller.status} on a route of all versions`;
      }
      return wrong === undefined ? null : `ran at ${wrong.kind}, where no allowed version sends it`;
    }
  }
}

/**
 * Checks that the probes of hosts in touch were decided by no older version of the configuration
 * than the one in force.
 *
 * @param record - what callers and upstreams observed
 * @returns the probes that were decided by an older one
 */
export function findConfigurationViolations(record: SoakRecord): ConfigurationViolation[] {
  return record.probes.filter(({ caller }) => isInTouch(record, caller)).flatMap((probe) => {
    const { requestId, hostIndex } = probe.caller;
    const allowed = getAllowed(record.configurations, probe.caller);
    const runs = record.runs.filter((run) => run.requestId === requestId);
    const fault = findFault(probe, allowed, runs);
    return fault === null ? [] : [{
      requestId,
      detail: `host ${hostIndex}: ${fault}, `
        + `versions ${allowed.map(({ version }) => version).join(', ')} may decide`,
    }];
  });
}
