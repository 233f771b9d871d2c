import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

/**
 * Lists files in folders, recursively.
 *
 * @param folders - folders to search; missing ones are skipped
 * @param suffix - suffix of the file names
 * @returns the paths, sorted
 */
export function globFiles(folders: readonly string[], suffix: string): string[] {
  return folders
    .filter((folder) => existsSync(folder))
    .flatMap((folder) => readdirSync(folder, { recursive: true, encoding: 'utf8' })
      .filter((name) => name.endsWith(suffix))
      .map((name) => join(folder, name)))
    .sort();
}
