import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

const startedAtMs = performance.now();

/** Collects what was sent, answered and run, and writes it to a file. */
export class Record {
  #lines = [];

  constructor(file) {
    this.file = file;
  }

  /** Adds a line with the time since the start of the script. */
  add(text) {
    const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} s  ${text}`);
  }

  write() {
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}
