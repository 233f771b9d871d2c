import { readFileSync } from 'node:fs';
import type { SecretSource } from './HostSettings.ts';
import { SecretError } from './SecretError.ts';

/** Options of {@link readSecret}. */
export interface ReadSecretOptions {
  /** Purpose of the secret, for error messages. */
  readonly purpose: string;
  readonly source: SecretSource;
  readonly env: Readonly<Record<string, string | undefined>>;
}

function readSource({ purpose, source, env }: ReadSecretOptions): string {
  if ('env' in source) {
    const value = env[source.env];
    if (value === undefined) {
      throw new SecretError(purpose, source, 'is not set', 'set it to the key');
    }
    return value;
  }
  try {
    return readFileSync(source.file, 'utf8');
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    throw new SecretError(
      purpose,
      source,
      `can't be read (${code ?? 'unknown error'})`,
      'create it, readable by this process only',
    );
  }
}

/**
 * Reads a secret without the line ends at its end, which editors add.
 *
 * @param options - purpose, source and environment
 * @returns the secret, not empty
 * @throws SecretError when the source is missing or empty
 */
export function readSecret(options: ReadSecretOptions): string {
  const { purpose, source } = options;
  const secret = readSource(options).replace(/[\r\n]+$/, '');
  if (secret === '') {
    throw new SecretError(purpose, source, 'is empty', 'write the key to it');
  }
  return secret;
}
