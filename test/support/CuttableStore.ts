import type { MemoryDirectoryStore } from './MemoryDirectoryStore.ts';

/**
 * One host's path to a store. While it is cut, calls may reach the store, but no answer comes back.
 */
export class CuttableStore {
  /** Whether answers of the store are lost. */
  isCut = false;

  /** The store as the host sees it. */
  readonly view: MemoryDirectoryStore;

  /**
   * @param store - the store that all hosts share
   */
  constructor(store: MemoryDirectoryStore) {
    this.view = new Proxy(store, {
      get: (target, name) => {
        const value: unknown = Reflect.get(target, name, target);
        if (typeof value !== 'function') {
          return value;
        }
        return (...parameters: unknown[]): unknown => {
          const result: unknown = value.apply(target, parameters);
          return result instanceof Promise
            ? result.then((answer: unknown) => this.#pass(answer))
            : result;
        };
      },
    });
  }

  #pass(answer: unknown): unknown {
    if (this.isCut) {
      throw new Error('the answer of the store is lost');
    }
    return answer;
  }
}
