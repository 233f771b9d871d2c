import type { PlanId } from '../lib/ids.ts';

/** Key of the operators' configuration in the platform's key-value service. */
export const CONFIGURATION_HEAD_KEY = 'configuration/head';

/** Keys among which proposed plans are spread; a later plan replaces an earlier one of its key. */
const PLAN_KEY_COUNT = 64;

const HEX_BASE = 16;
const HEX_PREFIX_LENGTH = 4;

/**
 * Gives the key under which a proposed plan is stored. The keys are few and used again, since the
 * service deletes nothing.
 *
 * @param planId - a plan
 * @returns its key
 */
export function getPlanKey(planId: PlanId): string {
  const prefix = Number.parseInt(planId.slice(0, HEX_PREFIX_LENGTH), HEX_BASE);
  return `plans/${(Number.isNaN(prefix) ? 0 : prefix) % PLAN_KEY_COUNT}`;
}
