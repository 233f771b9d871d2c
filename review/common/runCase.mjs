/* global setTimeout */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';

const EXIT = { held: 0, broken: 1, notRun: 2 };
const MAX_RUN_MS = 118_000;

/** Keeps what was sent, answered and run, for record.txt. */
export class Record {
  #lines = [];

  #startedAtMs = performance.now();

  add(text) {
    const atS = ((performance.now() - this.#startedAtMs) / 1_000).toFixed(3);
    this.#lines.push(`${atS.padStart(8)} s  ${text}`);
  }

  write(file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Runs a case and ends the process with the exit code that issue 42 asks for.
 *
 * @param recordFile - path of record.txt
 * @param run - gets the record, whether there is trouble, a folder for logs, and a function that
 * registers what has to be closed; returns the list of what broke the rule, or throws if the case
 * could not run
 */
export async function runCase(recordFile, run) {
  const record = new Record();
  const hasTrouble = process.env.TROUBLE !== '0';
  const folder = mkdtempSync(join(tmpdir(), 'parsleylift-review-'));
  const closers = [];
  let exitCode = EXIT.notRun;
  const finish = () => {
    record.write(recordFile);
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(folder, { recursive: true, force: true });
    } else {
      process.stdout.write(`logs: ${folder}\n`);
    }
    // Whatever is still running is killed by the exit handlers of its owner.
    process.exit(exitCode);
  };
  setTimeout(() => {
    record.add('the case took too long');
    exitCode = EXIT.notRun;
    finish();
  }, MAX_RUN_MS);
  process.on('uncaughtException', (error) => {
    record.add(`the case could not run: ${error.stack ?? error}`);
    exitCode = EXIT.notRun;
    finish();
  });
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
  try {
    const broken = await run({
      record, hasTrouble, folder, onClose: (close) => closers.push(close),
    });
    broken.forEach((text) => record.add(`BROKEN: ${text}`));
    record.add(`the rule was broken ${broken.length} times`);
    exitCode = broken.length === 0 ? EXIT.held : EXIT.broken;
  } catch (error) {
    record.add(`the case could not run: ${error.stack ?? error}`);
  }
  await Promise.allSettled(closers.map((close) => close()));
  const [word] = Object.entries(EXIT).find(([, code]) => code === exitCode);
  process.stdout.write(`${word}\n`);
  finish();
}
