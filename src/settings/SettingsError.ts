import type { Finding } from './Finding.ts';
import { formatFinding } from './formatFinding.ts';

/** A document is invalid; holds every finding. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  readonly findings: readonly Finding[];

  /**
   * @param findings - all findings, at least one
   */
  constructor(findings: readonly Finding[]) {
    super(findings.map(formatFinding).join('\n'));
    this.findings = findings;
  }
}
