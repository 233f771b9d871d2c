import { Ajv } from 'ajv';
import {
  configurationRecordSchema, type ConfigurationRecord,
} from './records/ConfigurationRecord.ts';

/*
 * During a rolling upgrade a configuration may contain fields that only a later version of the
 * program knows. They are preserved, so the validation accepts unknown fields.
 */
const lenientSchema = JSON.parse(JSON.stringify(
  configurationRecordSchema,
  (key, value: unknown) => (key === 'additionalProperties' ? undefined : value),
)) as object;

const validate = new Ajv({ strict: false }).compile<ConfigurationRecord>(lenientSchema);

/**
 * Validates a configuration from an external source.
 *
 * @param value - parsed JSON
 * @returns whether the value is a valid configuration
 */
export function isConfiguration(value: unknown): value is ConfigurationRecord {
  return validate(value);
}

/**
 * Parses a stored configuration.
 *
 * @param text - JSON text
 * @returns the configuration; null when the text is not a valid configuration
 */
export function parseConfiguration(text: string): ConfigurationRecord | null {
  try {
    const value: unknown = JSON.parse(text);
    return isConfiguration(value) ? value : null;
  } catch {
    return null;
  }
}
