import { REQUEST_KIND, type ConfigurationRecord, type ProbeRecord } from './SoakRecord.ts';
import { SoakCaller, type SoakTarget } from './SoakCaller.ts';
import { MOVED_ROUTE_PATH } from './createSoakManifest.ts';

const BODY = 'probe';

/** Sends requests whose handling tells which version of the configuration decided. */
export class SoakProbes {
  readonly #caller = new SoakCaller([]);

  readonly #configurations: readonly ConfigurationRecord[];

  readonly #probes: ProbeRecord[];

  #count = 0;

  /**
   * @param configurations - the versions in the store so far, the oldest first
   * @param probes - list that receives an entry for each request
   */
  constructor(configurations: readonly ConfigurationRecord[], probes: ProbeRecord[]) {
    this.#configurations = configurations;
    this.#probes = probes;
  }

  /**
   * Sends the next probe, of each kind in turn.
   *
   * @param target - the host
   */
  send(target: SoakTarget): void {
    const current = this.#configurations.at(-1);
    const former = this.#configurations.at(-2);
    if (current === undefined) {
      return;
    }
    const demand = { kind: REQUEST_KIND.repeatable, body: BODY };
    this.#count += 1;
    switch (this.#count % 3) {
      case 0:
        this.#probes.push({
          kind: 'currentKey',
          version: current.version,
          caller: this.#caller.send(target, { ...demand, key: current.key }),
        });
        return;
      case 1:
        this.#probes.push({
          kind: 'movedRoute',
          version: current.version,
          caller: this.#caller.send(target, { ...demand, path: MOVED_ROUTE_PATH }),
        });
        return;
      default:
        if (former !== undefined) {
          this.#probes.push({
            kind: 'formerKey',
            version: former.version,
            caller: this.#caller.send(target, { ...demand, key: former.key }),
          });
        }
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#caller.close();
  }
}
