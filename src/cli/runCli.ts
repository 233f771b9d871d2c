import yargs from 'yargs';
import { VERSION } from '../VERSION.ts';

/**
 * Runs the command line.
 *
 * @param args - the words after the program's name
 * @returns when the command has ended
 */
export async function runCli(args: readonly string[]): Promise<void> {
  await yargs([...args])
    .scriptName('parsleylift')
    .version(VERSION)
    .command('check <settings>', 'check a settings file', (builder) => builder, () => undefined)
    .strict()
    .parseAsync();
}
