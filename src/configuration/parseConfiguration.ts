import { Ajv } from 'ajv';
import {
  configurationRecordSchema, type ConfigurationRecord,
} from './records/ConfigurationRecord.ts';

/*
 * While hosts are replaced by a later version of the program, a configuration may carry fields that
 * this one does not know. They are kept, so unknown fields are no fault here.
 */
const lenientSchema = JSON.parse(JSON.stringify(
  configurationRecordSchema,
  (key, value: unknown) => (key === 'additionalProperties' ? undefined : value),
)) as object;

const validate = new Ajv({ strict: false }).compile<ConfigurationRecord>(lenientSchema);

/**
 * Checks a configuration that came from outside.
 *
 * @param value - plain values
 * @returns whether it is a configuration
 */
export function isConfiguration(value: unknown): value is ConfigurationRecord {
  return validate(value);
}

/**
 * Reads a stored configuration.
 *
 * @param text - JSON
 * @returns the configuration; null when the text is none
 */
export function parseConfiguration(text: string): ConfigurationRecord | null {
  try {
    const value: unknown = JSON.parse(text);
    return isConfiguration(value) ? value : null;
  } catch {
    return null;
  }
}
