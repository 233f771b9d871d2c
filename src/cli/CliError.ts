import type { ExitCode } from './EXIT_CODE.ts';

/** A command ended without success; the message is for the person at the terminal. */
export class CliError extends Error {
  override readonly name = 'CliError';

  readonly exitCode: ExitCode;

  /**
   * @param exitCode - what scripts see
   * @param message - what people see
   */
  constructor(exitCode: ExitCode, message: string) {
    super(message);
    this.exitCode = exitCode;
  }
}
