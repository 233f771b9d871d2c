import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

const startedAtMs = performance.now();

/** @returns {number} seconds since the run began */
export function now() {
  return (performance.now() - startedAtMs) / 1_000;
}

/** Collects what was sent, answered and run, one line for each event. */
export class Record {
  #lines = [];

  /** @param {string} text what happened now */
  add(text) {
    this.#lines.push(`${now().toFixed(3)} ${text}`);
  }

  /** @param {string} path file that gets all lines */
  write(path) {
    writeFileSync(path, `${this.#lines.join('\n')}\n`);
  }
}
