import { createInterface } from 'node:readline/promises';

/** Terminal and environment of a command. */
export interface CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether the user can be prompted. */
  readonly isInteractive: boolean;
  /** Whether output may be coloured. */
  readonly hasColors: boolean;
  /**
   * Writes to the standard output.
   *
   * @param text - written unchanged
   */
  writeOut(text: string): void;
  /**
   * Writes to the standard error output.
   *
   * @param text - written unchanged
   */
  writeError(text: string): void;
  /**
   * Prompts the user.
   *
   * @param question - text of the prompt
   * @returns the line that the user entered
   */
  ask(question: string): Promise<string>;
}

/**
 * Creates the terminal and environment of this process.
 *
 * @returns the terminal and environment
 */
export function createProcessIo(): CliIo {
  const {
    stdin, stdout, stderr, env,
  } = process;
  return {
    env,
    isInteractive: stdin.isTTY && stdout.isTTY,
    hasColors: stdout.isTTY && (env.NO_COLOR ?? '') === '' && env.TERM !== 'dumb',
    writeOut: (text) => stdout.write(text),
    writeError: (text) => stderr.write(text),
    ask: async (question) => {
      const lines = createInterface({ input: stdin, output: stdout });
      const answer = await lines.question(question);
      lines.close();
      return answer;
    },
  };
}
