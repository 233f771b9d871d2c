import type { PlanId } from '../lib/ids.ts';

/** Key of the current configuration (the head) in the platform's key-value service. */
export const CONFIGURATION_HEAD_KEY = 'configuration/head';

/** Number of keys that proposed plans are hashed to; a later plan overwrites an earlier one. */
const PLAN_KEY_COUNT = 64;

const HEX_BASE = 16;
const HEX_PREFIX_LENGTH = 4;

/**
 * Returns the key under which a proposed plan is stored. A fixed set of keys is reused because the
 * key-value service can't delete a key.
 *
 * @param planId - id of the plan
 * @returns the key of the plan
 */
export function getPlanKey(planId: PlanId): string {
  const prefix = Number.parseInt(planId.slice(0, HEX_PREFIX_LENGTH), HEX_BASE);
  return `plans/${(Number.isNaN(prefix) ? 0 : prefix) % PLAN_KEY_COUNT}`;
}
