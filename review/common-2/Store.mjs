import { StoreStandin } from '../../standins/store/StoreStandin.ts';

/** The project's stand-in for the platform's store; while it is down, nothing is written. */
export class Store {
  #standin = new StoreStandin();

  async start() {
    await this.#standin.listen();
  }

  get address() {
    return this.#standin.address;
  }

  get isDown() {
    return this.#standin.fault.kind !== 'none';
  }

  /** @param {boolean} isDown whether every call is answered 503, without effect */
  setDown(isDown) {
    this.#standin.fault = { kind: isDown ? 'down' : 'none' };
  }

  /** @returns {boolean} whether the value was written */
  put(key, value) {
    if (!this.isDown) {
      this.#standin.put(key, value);
    }
    return !this.isDown;
  }

  remove(key) {
    if (!this.isDown) {
      this.#standin.remove(key);
    }
  }

  async close() {
    await this.#standin.close();
  }
}
