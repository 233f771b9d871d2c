import { readFileSync } from 'node:fs';
import { checkDocument } from '../yaml/checkDocument.ts';
import { getHostSettingsProblems } from './getHostSettingsProblems.ts';
import { hostSettingsSchema, type HostSettings } from './HostSettings.ts';
import { SettingsError } from './SettingsError.ts';

/**
 * Reads a text file whose path an operator gave.
 *
 * @param file - path of the file
 * @returns its content
 * @throws SettingsError when it can't be read
 */
export function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    throw new SettingsError([{
      file,
      line: 1,
      column: 1,
      path: '',
      value: '',
      message: `can't be read (${code ?? 'unknown error'})`,
      cure: 'check its path and permissions',
    }]);
  }
}

/**
 * Reads and validates the settings of a host. Does not read the secrets.
 *
 * @param file - path of the YAML file
 * @returns the settings
 * @throws SettingsError with every finding, also when the file can't be read
 */
export function loadHostSettings(file: string): HostSettings {
  const checked = checkDocument({
    file,
    text: readSettingsFile(file),
    schema: hostSettingsSchema,
    getSemanticProblems: getHostSettingsProblems,
  });
  if (checked.kind === 'invalid') {
    throw new SettingsError(checked.findings);
  }
  return checked.value;
}
