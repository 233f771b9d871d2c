/* global setInterval, clearInterval */
export const HEARTBEAT_MS = 1200;
/** An entry is removed after three intervals of silence. */
const SILENT_BEATS = 3;

/** A server process and what it writes to the store while it reports. */
export class RegisteredServer {
  #isReporting = true;

  #sequence = 0;

  #lastBeatMs = Date.now();

  constructor(store, id, fields) {
    this.store = store;
    this.id = id;
    this.fields = fields;
    this.#beat();
    this.timer = setInterval(() => this.#tick(), HEARTBEAT_MS);
  }

  /** Ends the reports without a word; the store drops the entry after three intervals. */
  silence() {
    this.#isReporting = false;
  }

  change(fields) {
    Object.assign(this.fields, fields);
    this.#beat();
  }

  remove() {
    clearInterval(this.timer);
    this.store.remove(`servers/${this.id}`);
  }

  #beat() {
    this.#sequence += 1;
    this.#lastBeatMs = Date.now();
    this.store.put(`servers/${this.id}`, { ...this.fields, sequence: this.#sequence });
  }

  #tick() {
    if (this.#isReporting) {
      this.#beat();
    } else if (Date.now() - this.#lastBeatMs >= HEARTBEAT_MS * SILENT_BEATS) {
      this.remove();
    }
  }
}
