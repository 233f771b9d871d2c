import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, type WriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';

/** Each child listens to the end of this process. */
const MAX_CHILDREN = 500;

/** How a child is started. */
export interface ChildProgramOptions {
  /** Name in error messages. */
  readonly name: string;
  /** Arguments of Node, the program's file first. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string>>;
  /** Gets what the child prints. */
  readonly logFile: string;
  /** Matches the line that the child prints when it is ready. */
  readonly readyPattern: RegExp;
  /** How long the child may take until it is ready. */
  readonly startTimeoutMs: number;
}

/** How a child ended. */
export interface ChildExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const TERMINATION_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
let hasSignalHandlers = false;

/**
 * Lets a signal that nobody else handles end this process by its exit event, which a signal alone
 * does not raise, so that the children are ended too.
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

/** A Node program as a child process, started and ended by its own id only. */
export class ChildProgram {
  readonly name: string;

  /** The line by which the child said that it is ready. */
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
   * @param options - how it is started
   * @returns the child
   * @throws Error when the child ends or is silent until its time is over; it is reaped then
   */
  static async start(options: ChildProgramOptions): Promise<ChildProgram> {
    process.setMaxListeners(MAX_CHILDREN);
    exitOnSignal();
    const child = spawn(process.execPath, ['--import', 'tsx', ...options.args], {
      // A process group of its own, so that Ctrl-C reaches only the parent, which ends all in turn.
      detached: true,
      env: { ...process.env, ...options.env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(options.logFile);
    // A parent that fails leaves no child behind.
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
      throw new Error(`${options.name} did not start; it printed ${options.logFile}`);
    }
    return new ChildProgram(options.name, child, exited, readyMatch);
  }

  /** Whether the child has not ended. */
  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Process id. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Resolves when the child has ended and is reaped. */
  get exited(): Promise<ChildExit> {
    return this.#exited;
  }

  /**
   * @param signal - sent to this child only; nothing happens when it has ended
   */
  kill(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /**
   * Ends the child by SIGTERM, and by SIGKILL when that takes too long.
   *
   * @param timeoutMs - how long the child may take
   * @returns how it ended
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
