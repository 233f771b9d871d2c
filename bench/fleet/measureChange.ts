import { setTimeout as sleep } from 'node:timers/promises';
import { FLEET_OPERATOR_KEY, type FleetHost } from '../../scripts/fleet/Fleet.ts';
import { OperatorClient } from '../../src/cli/OperatorClient.ts';
import { readHostFigures } from './readHostFigures.ts';

const POLL_PERIOD_MS = 10;
const TIMEOUT_MS = 30_000;

interface ProposedPlan {
  readonly planId: string;
  readonly baseVersion: number;
}

async function waitForVersion(
  host: FleetHost,
  version: number,
  startedAtMs: number,
): Promise<number> {
  const figures = await readHostFigures(host);
  const elapsedMs = performance.now() - startedAtMs;
  if ((figures.get('configuration_version') ?? 0) >= version) {
    return elapsedMs;
  }
  if (elapsedMs > TIMEOUT_MS) {
    return Infinity;
  }
  await sleep(POLL_PERIOD_MS);
  return waitForVersion(host, version, startedAtMs);
}

/**
 * Confirms one change and waits until it is in force at every host.
 *
 * @param hosts - the hosts that live
 * @param intent - the change
 * @param beforeConfirm - runs between the plan and its confirmation
 * @returns the time from sending the confirmation until it is in force, for each host
 */
export async function measureChange(
  hosts: readonly FleetHost[],
  intent: object,
  beforeConfirm: () => void = () => undefined,
): Promise<number[]> {
  const [first] = hosts;
  const client = new OperatorClient(first?.httpUrl ?? '', FLEET_OPERATOR_KEY);
  const plan = await client.callOk<ProposedPlan>('POST', '/operator/v1/plans', intent);
  beforeConfirm();
  const startedAtMs = performance.now();
  const confirmed = client.callOk('POST', `/operator/v1/plans/${plan.planId}/confirm`);
  const waits = hosts.map((host) => waitForVersion(host, plan.baseVersion + 1, startedAtMs));
  await confirmed;
  return Promise.all(waits);
}
