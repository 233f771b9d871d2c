import yargs from 'yargs';
import { SecretError } from '../settings/SecretError.ts';
import { SettingsError } from '../settings/SettingsError.ts';
import { VERSION } from '../VERSION.ts';
import type { CliContext } from './CliContext.ts';
import { CliError } from './CliError.ts';
import { createCheckCommand } from './commands/createCheckCommand.ts';
import { createConfirmCommand } from './commands/createConfirmCommand.ts';
import { createCostCommand } from './commands/createCostCommand.ts';
import { createDrainCommand } from './commands/createDrainCommand.ts';
import { createExplainCommand } from './commands/createExplainCommand.ts';
import { createPlanCommand } from './commands/createPlanCommand.ts';
import { createServeCommand } from './commands/createServeCommand.ts';
import { createStatusCommand } from './commands/createStatusCommand.ts';
import { EXIT_CODE, type ExitCode } from './EXIT_CODE.ts';

const EPILOGUE = `Exit codes: 0 success, 1 failed, 2 invalid usage or findings in a file,
3 conflict, 4 host or platform not reachable.`;

function createUsageError(message: string): CliError {
  return new CliError(EXIT_CODE.usage, `${message}\nrun parsleylift --help for the commands`);
}

async function parse(args: readonly string[], context: CliContext): Promise<void> {
  const parser = yargs([...args])
    .scriptName('parsleylift')
    .version(VERSION)
    .usage('$0 COMMAND')
    .command(createServeCommand(context))
    .command(createCheckCommand(context))
    .command(createPlanCommand(context))
    .command(createConfirmCommand(context))
    .command(createStatusCommand(context))
    .command(createDrainCommand(context, 'drain'))
    .command(createDrainCommand(context, 'restore'))
    .command(createCostCommand(context))
    .command(createExplainCommand(context))
    .demandCommand(1, 'a command is required')
    .strict()
    .recommendCommands()
    .epilogue(EPILOGUE)
    .exitProcess(false)
    .fail((message: string | null, error: Error | undefined) => {
      throw error ?? createUsageError(message ?? 'invalid usage');
    });
  // With a callback, yargs passes its output to it instead of printing it.
  await parser.parseAsync([...args], {}, (_error, _argv, output) => {
    if (output !== '') {
      context.io.writeOut(`${output}\n`);
    }
  });
}

/**
 * Runs the command line.
 *
 * @param args - arguments after the program's name
 * @param context - the terminal and the programs that commands start
 * @returns the exit code when the command has ended
 * @throws every error that is not a CliError, SettingsError or SecretError
 */
export async function runCli(args: readonly string[], context: CliContext): Promise<ExitCode> {
  try {
    await parse(args, context);
    return EXIT_CODE.ok;
  } catch (error) {
    if (error instanceof CliError) {
      context.io.writeError(`${error.message}\n`);
      return error.exitCode;
    }
    if (error instanceof SettingsError || error instanceof SecretError) {
      context.io.writeError(`${error.message}\n`);
      return EXIT_CODE.usage;
    }
    throw error;
  }
}
