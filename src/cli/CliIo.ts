import { createInterface } from 'node:readline/promises';

/** The terminal and environment of a command. */
export interface CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether a person can be asked. */
  readonly isInteractive: boolean;
  /** Whether output may carry colours. */
  readonly hasColors: boolean;
  /**
   * @param text - goes to the standard output as it is
   */
  writeOut(text: string): void;
  /**
   * @param text - goes to the standard error output as it is
   */
  writeError(text: string): void;
  /**
   * @param question - what to ask
   * @returns the line that was typed
   */
  ask(question: string): Promise<string>;
}

/**
 * @returns the terminal and environment of this process
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
