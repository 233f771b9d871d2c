import type { SecretSource } from './HostSettings.ts';

/**
 * Names a source without its content.
 *
 * @param source - where the secret is read from
 * @returns such as `environment variable PARSLEYLIFT_OPERATOR_KEY`
 */
export function describeSecretSource(source: SecretSource): string {
  return 'file' in source ? `file ${source.file}` : `environment variable ${source.env}`;
}

/** A secret can't be read; the message names its source and never its content. */
export class SecretError extends Error {
  override readonly name = 'SecretError';

  /**
   * @param purpose - what the secret is for, such as `operatorKey`
   * @param source - where it should have come from
   * @param reason - what went wrong
   * @param cure - what to do
   */
  constructor(purpose: string, source: SecretSource, reason: string, cure: string) {
    super(`${purpose}: ${describeSecretSource(source)} ${reason}; ${cure}`);
  }
}
