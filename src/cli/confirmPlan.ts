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

/** Body of the answer that a plan is accepted. */
export type AcceptedBody = Omit<PlanAcceptedAnswer, 'kind'>;

/**
 * Formats where an accepted configuration is in force.
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

/** Options of {@link confirmPlan}. */
export interface ConfirmOptions {
  readonly client: OperatorClient;
  readonly io: CliIo;
  readonly isJson: boolean;
  /** Whether to wait until the plan is in force on every live host. */
  readonly waitsUntilInForce: boolean;
}

/*
 * Polls by confirming again, which changes nothing and returns where the plan is in force.
 */
async function pollUntilInForce(
  client: OperatorClient,
  path: string,
  first: AcceptedBody,
): Promise<AcceptedBody> {
  let accepted = first;
  for (let poll = 0; poll < MAX_POLLS && accepted.pendingHostIds.length > 0; poll += 1) {
    // eslint-disable-next-line no-await-in-loop -- polls are sequential
    await sleep(POLL_INTERVAL_MS);
    // eslint-disable-next-line no-await-in-loop -- as above
    accepted = await client.callOk<AcceptedBody>('POST', path);
  }
  return accepted;
}

/**
 * Confirms a plan and prints the answer.
 *
 * @param planId - id of the plan
 * @param options - client, output and wait options
 * @throws CliError on a conflict, an unknown plan, an unreachable platform, or hosts that are still
 *   pending after the wait
 */
export async function confirmPlan(planId: string, options: ConfirmOptions): Promise<void> {
  const {
    client, io, isJson, waitsUntilInForce,
  } = options;
  const path = `/operator/v1/plans/${encodeURIComponent(planId)}/confirm`;
  const first = await client.callOk<AcceptedBody>('POST', path);
  const accepted = waitsUntilInForce ? await pollUntilInForce(client, path, first) : first;
  io.writeOut(isJson ? `${JSON.stringify(accepted)}\n` : formatAccepted(accepted));
  if (waitsUntilInForce && accepted.pendingHostIds.length > 0) {
    throw new CliError(
      EXIT_CODE.unavailable,
      `accepted, but not yet in force on ${accepted.pendingHostIds.join(', ')}`,
    );
  }
}

/** Options of {@link proposeAndConfirm}. */
export interface ProposeAndConfirmOptions extends ConfirmOptions {
  readonly intent: unknown;
  /** Whether to confirm without prompting the user. */
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
 * Proposes an intent, shows the plan, and confirms it if an option or the user requests it.
 *
 * @param options - the intent and the options for confirming it
 * @throws CliError when the plan has conflicts, is not confirmed, or is for a superseded version
 */
export async function proposeAndConfirm(options: ProposeAndConfirmOptions): Promise<void> {
  const {
    client, intent, io, isJson, confirmsWithoutAsking,
  } = options;
  const plan = await client.callOk<PlanSummary>('POST', '/operator/v1/plans', intent);
  if (!isJson) {
    io.writeOut(formatPlan(plan));
  }
  if (plan.conflicts.length > 0) {
    throw new CliError(EXIT_CODE.conflict, `not confirmed: ${plan.conflicts.join('; ')}`);
  }
  if (!confirmsWithoutAsking && !await askForConfirmation(io)) {
    throw new CliError(EXIT_CODE.failed, `not confirmed; parsleylift confirm ${plan.planId}`);
  }
  await confirmPlan(plan.planId, options);
}
