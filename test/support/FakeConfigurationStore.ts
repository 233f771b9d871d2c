import type { KeyValueAnswer, KeyValueCall } from '../../src/platform/KeyValueCall.ts';

/** What a fake store does with a call instead of answering it properly. */
export const STORE_FAULT = {
  /** The call has no effect and says so. */
  unavailable: 'unavailable',
  /** The call has no effect, and its answer is lost. */
  lostBefore: 'lostBefore',
  /** The call takes effect, and its answer is lost. */
  lostAfter: 'lostAfter',
  /** The call takes effect, and nothing ever comes back. */
  silent: 'silent',
  /** A read shows the state before the last write. */
  stale: 'stale',
} as const;

/** What a fake store does with a call instead of answering it properly. */
export type StoreFault = typeof STORE_FAULT[keyof typeof STORE_FAULT];

interface Entry {
  readonly version: number;
  readonly value: string;
}

const LOST = { kind: 'unknown', detail: 'lost' } as const;
const UNAVAILABLE = { kind: 'unavailable', detail: 'away' } as const;

function readEntry(entries: ReadonlyMap<string, Entry>, key: string): KeyValueAnswer {
  const entry = entries.get(key);
  return entry === undefined ? { kind: 'missing' } : { kind: 'value', ...entry };
}

/** The platform's key-value service at the core's interface, with faults. */
export class FakeConfigurationStore {
  readonly entries = new Map<string, Entry>();

  readonly #previous = new Map<string, Entry>();

  /** Faults of the next calls, by kind of call. */
  readonly faults: { kind: KeyValueCall['kind']; fault: StoreFault }[] = [];

  isDown = false;

  /**
   * @param call - to the service; a watch is answered like a get
   * @returns the answer; null when nothing comes back
   */
  answer(call: KeyValueCall): KeyValueAnswer | null {
    if (this.isDown) {
      return UNAVAILABLE;
    }
    const index = this.faults.findIndex(({ kind }) => kind === call.kind);
    const fault = index < 0 ? null : this.faults.splice(index, 1)[0]?.fault ?? null;
    switch (fault) {
      case 'unavailable':
        return UNAVAILABLE;
      case 'lostBefore':
        return LOST;
      case 'lostAfter':
        this.#run(call);
        return LOST;
      case 'silent':
        this.#run(call);
        return null;
      case 'stale':
        return readEntry(this.#previous, call.key);
      default:
        return this.#run(call);
    }
  }

  #run(call: KeyValueCall): KeyValueAnswer {
    if (call.kind !== 'compareAndSwap') {
      return readEntry(this.entries, call.key);
    }
    const present = this.entries.get(call.key) ?? { version: 0, value: '' };
    if (present.version !== call.expectedVersion) {
      return { kind: 'conflict', ...present };
    }
    if (present.version > 0) {
      this.#previous.set(call.key, present);
    }
    const version = present.version + 1;
    this.entries.set(call.key, { version, value: call.value });
    return { kind: 'swapped', version };
  }
}
