import { Type, type Static } from '@sinclair/typebox';
import { Ajv } from 'ajv';
import { intentSchema } from '../intents/Intent.ts';

/**
 * Schema of a stored plan. The configuration that the plan writes is not stored, since it is
 * derived from the intent, the plan id and the base configuration.
 */
export const storedPlanSchema = Type.Object({
  planId: Type.String({ minLength: 1 }),
  baseVersion: Type.Integer({ minimum: 0 }),
  intent: intentSchema,
}, { additionalProperties: false });

/** A proposed plan as it is stored. */
export type StoredPlan = Static<typeof storedPlanSchema>;

const validate = new Ajv().compile<StoredPlan>(storedPlanSchema);

/**
 * Parses a stored plan.
 *
 * @param text - JSON text
 * @returns the plan; null when the text is not a valid plan
 */
export function parseStoredPlan(text: string): StoredPlan | null {
  try {
    const value: unknown = JSON.parse(text);
    return validate(value) ? value : null;
  } catch {
    return null;
  }
}
