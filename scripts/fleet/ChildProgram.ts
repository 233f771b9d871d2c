import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, type WriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';

/** Listener limit of this process, since each child adds a listener to its `exit` event. */
const MAX_CHILDREN = 500;

/** Options of a child process. */
export interface ChildProgramOptions {
  /** Name for error messages. */
  readonly name: string;
  /** Arguments of Node, beginning with the program's file. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string>>;
  /** Whether the program is plain JavaScript, which needs no loader of TypeScript. */
  readonly isBundled?: boolean;
  /** File that the child's output is written to. */
  readonly logFile: string;
  /** Matches the line that the child prints when it is ready. */
  readonly readyPattern: RegExp;
  /** Time limit for the child to become ready. */
  readonly startTimeoutMs: number;
}

/** Exit code and signal of a child. */
export interface ChildExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const TERMINATION_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
let hasSignalHandlers = false;

/**
 * Makes a signal without another handler end this process through `process.exit`, since a signal
 * alone does not emit the exit event that kills the children.
 */
function exitOnSignal(): void {
  if (hasSignalHandlers) {
    return;
  }
  hasSignalHandlers = true;
  TERMINATION_SIGNALS.forEach((signal) => process.on(signal, () => {
    if (process.listenerCount(signal) === 1) {
      process.exit(1);
    }
  }));
}

/** Node program in a child process; signals are sent only to its own process id. */
export class ChildProgram {
  readonly name: string;

  /** Match of the line that the child printed when it was ready. */
  readonly readyMatch: RegExpExecArray;

  readonly #child: ChildProcess;

  readonly #exited: Promise<ChildExit>;

  private constructor(
    name: string,
    child: ChildProcess,
    exited: Promise<ChildExit>,
    readyMatch: RegExpExecArray,
  ) {
    this.name = name;
    this.#child = child;
    this.#exited = exited;
    this.readyMatch = readyMatch;
  }

  /**
   * Starts a child and waits until it is ready.
   *
   * @param options - see {@link ChildProgramOptions}
   * @returns the child
   * @throws Error if the child exits or is not ready in time; it is killed then
   */
  static async start(options: ChildProgramOptions): Promise<ChildProgram> {
    process.setMaxListeners(MAX_CHILDREN);
    exitOnSignal();
    const child = spawn(process.execPath, [
      ...(options.isBundled === true ? [] : ['--import', 'tsx']), ...options.args,
    ], {
      // Its own process group, so that Ctrl-C reaches only the parent, which stops all children.
      detached: true,
      env: { ...process.env, ...options.env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(options.logFile);
    // Kills the child if the parent exits first.
    const killAtExit = () => child.kill('SIGKILL');
    process.once('exit', killAtExit);
    const exited = once(child, 'exit').then(([code, signal]) => {
      process.off('exit', killAtExit);
      log.end();
      return { code, signal };
    });
    const readyMatch = await Promise.race([
      ChildProgram.#readUntilReady(child, log, options.readyPattern),
      exited.then(() => null),
      sleep(options.startTimeoutMs, null, { ref: false }),
    ]);
    if (readyMatch === null) {
      child.kill('SIGKILL');
      await exited;
      throw new Error(`${options.name} did not become ready; see its output in ${options.logFile}`);
    }
    return new ChildProgram(options.name, child, exited, readyMatch);
  }

  /** Whether the child is still running. */
  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Process id. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Resolves when the child has exited. */
  get exited(): Promise<ChildExit> {
    return this.#exited;
  }

  /**
   * @param signal - signal to send to this child only; ignored if it has exited
   */
  kill(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /**
   * Stops the child by SIGTERM, and by SIGKILL after the timeout.
   *
   * @param timeoutMs - time limit for the child's shutdown
   * @returns its exit code and signal
   */
  async stop(timeoutMs: number): Promise<ChildExit> {
    this.kill('SIGTERM');
    const hasTimedOut = await Promise.race([
      this.#exited.then(() => false),
      sleep(timeoutMs, true, { ref: false }),
    ]);
    if (hasTimedOut) {
      this.kill('SIGKILL');
    }
    return this.#exited;
  }

  static #readUntilReady(
    child: ChildProcess,
    log: WriteStream,
    pattern: RegExp,
  ): Promise<RegExpExecArray> {
    return new Promise((resolve) => {
      [child.stdout, child.stderr].forEach((stream) => {
        if (stream === null) {
          return;
        }
        createInterface({ input: stream }).on('line', (line) => {
          if (log.writable) {
            log.write(`${line}\n`);
          }
          const match = pattern.exec(line);
          if (match !== null) {
            resolve(match);
          }
        });
      });
    });
  }
}
