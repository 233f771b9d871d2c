import { Type, type Static } from '@sinclair/typebox';
import { Ajv } from 'ajv';
import { intentSchema } from '../intents/Intent.ts';

/**
 * A proposed plan as it is kept: the configuration that it writes follows from the intent, the id
 * and the base configuration, so it is not stored.
 */
export const storedPlanSchema = Type.Object({
  planId: Type.String({ minLength: 1 }),
  baseVersion: Type.Integer({ minimum: 0 }),
  intent: intentSchema,
}, { additionalProperties: false });

/** A proposed plan as it is kept. */
export type StoredPlan = Static<typeof storedPlanSchema>;

const validate = new Ajv().compile<StoredPlan>(storedPlanSchema);

/**
 * Reads a stored plan.
 *
 * @param text - JSON
 * @returns the plan; null when the text is none
 */
export function parseStoredPlan(text: string): StoredPlan | null {
  try {
    const value: unknown = JSON.parse(text);
    return validate(value) ? value : null;
  } catch {
    return null;
  }
}
