/** How the configuration of a host compares with that of the host that passed a request on. */
export type VersionComparison = 'same' | 'newer' | 'older' | 'unknown';

/**
 * @param ownVersion - version of the configuration of this host; null when it has none
 * @param originVersion - that of the other host; null when it does not tell
 * @returns the own version compared with the other one
 */
export function compareVersions(
  ownVersion: number | null,
  originVersion: number | null,
): VersionComparison {
  if (ownVersion === null || originVersion === null) {
    return 'unknown';
  }
  if (ownVersion === originVersion) {
    return 'same';
  }
  return ownVersion > originVersion ? 'newer' : 'older';
}
