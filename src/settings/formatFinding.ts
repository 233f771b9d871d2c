import type { Finding } from './Finding.ts';

/**
 * Formats a finding as one line in the usual format of compilers.
 *
 * @param finding - the finding
 * @returns a line such as `host.yaml:3:7: http.port: must be <= 65535 (found 70000); give ...`
 */
export function formatFinding(finding: Finding): string {
  const place = `${finding.file}:${finding.line}:${finding.column}`;
  const subject = finding.path === '' ? '' : `${finding.path}: `;
  const found = finding.value === '' ? '' : ` (found ${finding.value})`;
  return `${place}: ${subject}${finding.message}${found}; ${finding.cure}`;
}
