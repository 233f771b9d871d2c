import type { CliIo } from '../../src/cli/CliIo.ts';

/** A terminal that keeps what was written and types prepared answers. */
export class FakeCliIo implements CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;

  readonly isInteractive: boolean;

  readonly hasColors = false;

  out = '';

  errors = '';

  readonly #answers: string[];

  /**
   * @param env - the environment
   * @param answers - typed one after the other; none for a pipe instead of a terminal
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
