/* global URL */
import { spawn } from 'node:child_process';
import net from 'node:net';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { fileURLToPath } from 'node:url';

const HEARTBEAT_MS = 1_200;
const IPV4 = 4;
/** Descriptor of the listening socket in the process of the engine. */
const SOCKET_ARGS = ['ignore', 'inherit', 'inherit'];

/**
 * An engine in a process of its own under a supervisor that keeps its listening socket open, as
 * socket activation does, and starts it again at once under its id when its process has ended.
 */
export class SupervisedEngine {
  #handle = null;

  #child = null;

  #timer = null;

  #sequence = 0;

  #isClosed = false;

  #isFirst = true;

  /**
   * @param {object} options the entry of the engine, and
   *   `program`: the file of its process in this folder; `getArgs`: the arguments of the process,
   *   from its start and whether it is the first one
   */
  constructor({
    id, ip, port = 8_080, entry, program, getArgs, store, record,
  }) {
    Object.assign(this, {
      id, ip, port, entry, program, getArgs, store, record,
    });
    this.born = 0;
  }

  async start() {
    // Binds without accepting connections itself.
    this.#handle = net._createServerHandle(this.ip, this.port, IPV4);
    if (typeof this.#handle === 'number') {
      throw new Error(`${this.ip}:${this.port} can't be bound: ${this.#handle}`);
    }
    await this.#startProcess();
    this.#timer = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  /** Kills the process of the engine. */
  crash() {
    this.record.add(`engine ${this.id} is killed born=${this.born}`);
    this.#child.kill('SIGKILL');
  }

  /** @param {number} garbledEvery each answer of this number is broken off; 0 for none */
  garble(garbledEvery) {
    this.record.add(`engine ${this.id} breaks off one of ${garbledEvery} answers`);
    this.#child.send({ garbledEvery });
  }

  close() {
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.#child.kill('SIGKILL');
    this.#handle.close();
  }

  #startProcess() {
    this.born = Math.max(this.born + 1, Date.now());
    this.#sequence = 0;
    const file = fileURLToPath(new URL(this.program, import.meta.url));
    const args = this.getArgs(this.born, this.#isFirst).map(String);
    this.#isFirst = false;
    this.isReady = false;
    const child = spawn(process.execPath, [file, this.id, ...args], {
      stdio: [...SOCKET_ARGS, this.#handle.fd, 'ipc'],
    });
    this.#child = child;
    child.once('exit', () => {
      if (!this.#isClosed) {
        this.#startProcess();
      }
    });
    return new Promise((resolve) => {
      child.on('message', ({ kind, detail }) => {
        if (kind === 'ready') {
          this.record.add(`engine ${this.id} runs born=${this.born}`);
          this.isReady = true;
          this.#register();
          resolve();
        } else {
          this.record.add(`${kind} ${detail} at ${this.id}`);
        }
      });
    });
  }

  #register() {
    if (!this.isReady) {
      return;
    }
    this.#sequence += 1;
    this.store.put(`servers/${this.id}`, {
      ...this.entry,
      address: `${this.ip}:${this.port}`,
      version: 'v1',
      state: 'ready',
      cold_left_ms: 0,
      sequence: this.#sequence,
      born: this.born,
    });
  }
}
