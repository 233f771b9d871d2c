/* global performance */
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const PROGRAM = 'target/review-3/common-4-engine.mjs';
const START_LIMIT_MS = 10_000;
let startCount = 0;

/** An engine that is started, killed and started again at one port. */
export class EngineProcess {
  child = null;

  port = 0;

  id = '';

  constructor(bed, options) {
    this.bed = bed;
    this.options = options;
    this.recordFile = join(bed.folder, `${options.name}.jsonl`);
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  /** What all its processes have recorded. */
  get records() {
    return existsSync(this.recordFile)
      ? readFileSync(this.recordFile, 'utf8').split('\n').filter(Boolean)
        .map((line) => JSON.parse(line))
      : [];
  }

  /** Starts a new lifetime. */
  async start() {
    startCount += 1;
    this.id = `i-${this.options.name}-${startCount}`;
    this.child = this.bed.spawn(PROGRAM, [], {
      ENGINE: JSON.stringify({
        ...this.options, id: this.id, port: this.port, recordFile: this.recordFile,
      }),
    }, `${this.options.name}-${startCount}`);
    const untilMs = performance.now() + START_LIMIT_MS;
    for (;;) {
      const started = this.records.find((entry) => (
        entry.kind === 'started' && entry.engine === this.id));
      if (started !== undefined) {
        this.port = started.port;
        this.born = started.born;
        return;
      }
      if (performance.now() > untilMs) {
        throw new Error(`${this.options.name} does not start`);
      }
      // eslint-disable-next-line no-await-in-loop -- polls
      await sleep(10);
    }
  }

  kill() {
    this.child.kill('SIGKILL');
  }
}
