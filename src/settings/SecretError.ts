import type { SecretSource } from './HostSettings.ts';

/**
 * Describes the source of a secret without its content.
 *
 * @param source - source of the secret
 * @returns a text such as `environment variable PARSLEYLIFT_OPERATOR_KEY`
 */
export function describeSecretSource(source: SecretSource): string {
  return 'file' in source ? `file ${source.file}` : `environment variable ${source.env}`;
}

/** A secret can't be read. The message names its source and never its content. */
export class SecretError extends Error {
  override readonly name = 'SecretError';

  /**
   * @param purpose - what the secret is for, such as `operatorKey`
   * @param source - source of the secret
   * @param reason - why it can't be read
   * @param cure - how to correct it
   */
  constructor(purpose: string, source: SecretSource, reason: string, cure: string) {
    super(`${purpose}: ${describeSecretSource(source)} ${reason}; ${cure}`);
  }
}
