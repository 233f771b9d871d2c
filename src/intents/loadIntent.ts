import { SettingsError } from '../settings/SettingsError.ts';
import { readSettingsFile } from '../settings/loadHostSettings.ts';
import { checkDocument } from '../yaml/checkDocument.ts';
import { getIntentProblems } from './getIntentProblems.ts';
import { intentSchema, type Intent } from './Intent.ts';

/**
 * Checks the text of an intent.
 *
 * @param file - what findings call the source of the text
 * @param text - YAML or JSON
 * @returns the intent
 * @throws SettingsError with every finding
 */
export function parseIntent(file: string, text: string): Intent {
  const checked = checkDocument({
    file, text, schema: intentSchema, getSemanticProblems: getIntentProblems,
  });
  if (checked.kind === 'invalid') {
    throw new SettingsError(checked.findings);
  }
  return checked.value;
}

/**
 * Reads and checks an intent.
 *
 * @param file - path of the YAML file
 * @returns the intent
 * @throws SettingsError with every finding, also when the file can't be read
 */
export function loadIntent(file: string): Intent {
  return parseIntent(file, readSettingsFile(file));
}
