import { setTimeout as sleep } from 'node:timers/promises';
import type { PlanAcceptedAnswer } from '../operators/OperatorAnswer.ts';
import type { PlanSummary } from '../operators/PlanSummary.ts';
import { CliError } from './CliError.ts';
import type { CliIo } from './CliIo.ts';
import { EXIT_CODE } from './EXIT_CODE.ts';
import { formatPlan } from './formatPlan.ts';
import type { OperatorClient } from './OperatorClient.ts';

const POLL_INTERVAL_MS = 250;
const MAX_POLLS = 80;

/** The part of an accepted answer that is shown. */
export type AcceptedBody = Omit<PlanAcceptedAnswer, 'kind'>;

/**
 * Writes for people where an accepted configuration is in force.
 *
 * @param accepted - the host's answer
 * @returns lines, each ended by a line feed
 */
export function formatAccepted(accepted: AcceptedBody): string {
  const { version, inForceHostIds, pendingHostIds } = accepted;
  const hostCount = inForceHostIds.length + pendingHostIds.length;
  const pending = pendingHostIds.length === 0 ? '' : `; pending: ${pendingHostIds.join(', ')}`;
  return `accepted as configuration version ${version}\n`
    + `in force on ${inForceHostIds.length} of ${hostCount} hosts${pending}\n`;
}

/** How a plan is confirmed. */
export interface ConfirmOptions {
  readonly client: OperatorClient;
  readonly io: CliIo;
  readonly isJson: boolean;
  /** Whether to wait until the plan is in force on every live host. */
  readonly waitsUntilInForce: boolean;
}

/*
 * Confirming again changes nothing and tells where the plan is in force by now.
 */
async function pollUntilInForce(
  client: OperatorClient,
  path: string,
  first: AcceptedBody,
): Promise<AcceptedBody> {
  let accepted = first;
  for (let round = 0; round < MAX_POLLS && accepted.pendingHostIds.length > 0; round += 1) {
    // eslint-disable-next-line no-await-in-loop -- each round asks after the one before
    await sleep(POLL_INTERVAL_MS);
    // eslint-disable-next-line no-await-in-loop -- as above
    accepted = await client.callOk<AcceptedBody>('POST', path);
  }
  return accepted;
}

/**
 * Confirms a plan and prints the answer.
 *
 * @param planId - of the plan
 * @param options - how to confirm
 * @throws CliError on a conflict, an unknown plan, an unreachable platform, or hosts that are still
 *   pending after the wait
 */
export async function confirmPlan(planId: string, options: ConfirmOptions): Promise<void> {
  const {
    client, io, isJson, waitsUntilInForce: isAwaited,
  } = options;
  const path = `/operator/v1/plans/${encodeURIComponent(planId)}/confirm`;
  const first = await client.callOk<AcceptedBody>('POST', path);
  const accepted = isAwaited ? await pollUntilInForce(client, path, first) : first;
  io.writeOut(isJson ? `${JSON.stringify(accepted)}\n` : formatAccepted(accepted));
  if (isAwaited && accepted.pendingHostIds.length > 0) {
    throw new CliError(
      EXIT_CODE.unavailable,
      `accepted, but not yet in force on ${accepted.pendingHostIds.join(', ')}`,
    );
  }
}

/** How a drawn-up plan is confirmed. */
export interface ProposeAndConfirmOptions extends ConfirmOptions {
  readonly intent: unknown;
  /** Confirms without asking. */
  readonly confirmsWithoutAsking: boolean;
}

async function askForConfirmation(io: CliIo): Promise<boolean> {
  if (!io.isInteractive) {
    return false;
  }
  const answer = await io.ask('confirm this plan? [y/N] ');
  return /^y(es)?$/i.test(answer.trim());
}

/**
 * Proposes an intent, shows the plan, and confirms it when told or asked to.
 *
 * @param options - the intent and how to confirm
 * @throws CliError when the plan has conflicts, is not confirmed, or comes second in a race
 */
export async function proposeAndConfirm(options: ProposeAndConfirmOptions): Promise<void> {
  const {
    client, intent, io, isJson, confirmsWithoutAsking: isConfirmed,
  } = options;
  const plan = await client.callOk<PlanSummary>('POST', '/operator/v1/plans', intent);
  if (!isJson) {
    io.writeOut(formatPlan(plan));
  }
  if (plan.conflicts.length > 0) {
    throw new CliError(EXIT_CODE.conflict, `not confirmed: ${plan.conflicts.join('; ')}`);
  }
  if (!isConfirmed && !await askForConfirmation(io)) {
    throw new CliError(EXIT_CODE.failed, `not confirmed; parsleylift confirm ${plan.planId}`);
  }
  await confirmPlan(plan.planId, options);
}
