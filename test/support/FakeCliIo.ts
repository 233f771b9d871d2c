import type { CliIo } from '../../src/cli/CliIo.ts';

/** Terminal that records its output and answers prompts with prepared lines. */
export class FakeCliIo implements CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;

  readonly isInteractive: boolean;

  readonly hasColors = false;

  out = '';

  errors = '';

  readonly #answers: string[];

  /**
   * @param env - environment variables
   * @param answers - answers to the prompts, in order; none makes it non-interactive, as a pipe
   */
  constructor(env: Readonly<Record<string, string | undefined>> = {}, answers: string[] = []) {
    this.env = env;
    this.isInteractive = answers.length > 0;
    this.#answers = [...answers];
  }

  /** @inheritdoc */
  writeOut(text: string): void {
    this.out += text;
  }

  /** @inheritdoc */
  writeError(text: string): void {
    this.errors += text;
  }

  /** @inheritdoc */
  ask(): Promise<string> {
    return Promise.resolve(this.#answers.shift() ?? '');
  }
}
