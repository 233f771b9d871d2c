import type { Finding } from './Finding.ts';
import { formatFinding } from './formatFinding.ts';

/** A document that can't be used; it carries every finding. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  readonly findings: readonly Finding[];

  /**
   * @param findings - everything that was found, at least one
   */
  constructor(findings: readonly Finding[]) {
    super(findings.map(formatFinding).join('\n'));
    this.findings = findings;
  }
}
