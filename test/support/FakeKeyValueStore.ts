import type { KeyValueAnswer, KeyValueCall } from '../../src/platform/KeyValueCall.ts';

/** In-memory key-value service of the platform: linearizable, with increasing versions. */
export class FakeKeyValueStore {
  readonly #values = new Map<string, { readonly version: number; readonly value: string }>();

  /** Number of compare-and-swaps that took effect. */
  writeCount = 0;

  /** Number of calls of any kind. */
  callCount = 0;

  /** Size of the largest value ever stored, in UTF-8 bytes. */
  maxValueBytes = 0;

  /**
   * Executes a call; a watch returns the current state immediately.
   *
   * @param call - the call
   * @returns the service's answer
   */
  execute(call: KeyValueCall): KeyValueAnswer {
    this.callCount += 1;
    const present = this.#values.get(call.key);
    if (call.kind !== 'compareAndSwap') {
      return present === undefined ? { kind: 'missing' } : { kind: 'value', ...present };
    }
    const version = present?.version ?? 0;
    if (version !== call.expectedVersion) {
      return { kind: 'conflict', version, value: present?.value ?? '' };
    }
    this.#values.set(call.key, { version: version + 1, value: call.value });
    this.writeCount += 1;
    this.maxValueBytes = Math.max(this.maxValueBytes, Buffer.byteLength(call.value));
    return { kind: 'swapped', version: version + 1 };
  }

  /** @returns the stored keys */
  getKeys(): string[] {
    return [...this.#values.keys()];
  }

  /**
   * @param key - a key
   * @returns its value; null when missing
   */
  getValue(key: string): string | null {
    return this.#values.get(key)?.value ?? null;
  }
}
