import type { ExitCode } from './EXIT_CODE.ts';

/** Error that ends a command; the message is shown to the user. */
export class CliError extends Error {
  override readonly name = 'CliError';

  readonly exitCode: ExitCode;

  /**
   * @param exitCode - exit code of the program
   * @param message - text for the standard error output
   */
  constructor(exitCode: ExitCode, message: string) {
    super(message);
    this.exitCode = exitCode;
  }
}
