import type { PlanAcceptedAnswer } from '../operators/OperatorAnswer.ts';
import type { PlanSummary } from '../operators/PlanSummary.ts';
import { CliError } from './CliError.ts';
import type { CliIo } from './CliIo.ts';
import { EXIT_CODE } from './EXIT_CODE.ts';
import { formatPlan } from './formatPlan.ts';
import type { OperatorClient } from './OperatorClient.ts';

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

/**
 * Confirms a plan and prints the answer.
 *
 * @param client - of the host
 * @param planId - of the plan
 * @param io - where the answer is printed
 * @param isJson - whether to print JSON
 * @throws CliError on a conflict, an unknown plan or an unreachable platform
 */
export async function confirmPlan(
  client: OperatorClient,
  planId: string,
  io: CliIo,
  isJson: boolean,
): Promise<void> {
  const path = `/operator/v1/plans/${encodeURIComponent(planId)}/confirm`;
  const accepted = await client.callOk<AcceptedBody>('POST', path);
  io.writeOut(isJson ? `${JSON.stringify(accepted)}\n` : formatAccepted(accepted));
}

/** How a drawn-up plan is confirmed. */
export interface ProposeAndConfirmOptions {
  readonly client: OperatorClient;
  readonly intent: unknown;
  readonly io: CliIo;
  readonly isJson: boolean;
  /** Confirms without asking. */
  readonly isConfirmed: boolean;
}

async function isPlanWanted(io: CliIo): Promise<boolean> {
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
    client, intent, io, isJson, isConfirmed,
  } = options;
  const plan = await client.callOk<PlanSummary>('POST', '/operator/v1/plans', intent);
  if (!isJson) {
    io.writeOut(formatPlan(plan));
  }
  if (plan.conflicts.length > 0) {
    throw new CliError(EXIT_CODE.conflict, `not confirmed: ${plan.conflicts.join('; ')}`);
  }
  if (!isConfirmed && !await isPlanWanted(io)) {
    throw new CliError(EXIT_CODE.failed, `not confirmed; parsleylift confirm ${plan.planId}`);
  }
  await confirmPlan(client, plan.planId, io, isJson);
}
