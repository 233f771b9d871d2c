import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

/**
 * Lists files below some folders.
 *
 * @param folders - where to look; missing ones are passed over
 * @param suffix - how the names must end
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
