import type { HostId } from '../../src/lib/ids.ts';
import { ModelHost, type ModelEnvironment } from './ModelHost.ts';
import { ModelStore } from './ModelStore.ts';
import { VirtualTime } from './VirtualTime.ts';

/** Hosts that follow one store, registered in it, under simulated time. */
export class ModelFleet implements ModelEnvironment {
  readonly time = new VirtualTime();

  readonly store = new ModelStore();

  readonly isRelayed: boolean;

  readonly hosts: readonly ModelHost[];

  readonly errors: unknown[] = [];

  /**
   * @param hostCount - number of hosts
   * @param isRelayed - whether hosts follow readers; otherwise each follows the store
   */
  constructor(hostCount: number, isRelayed: boolean) {
    this.isRelayed = isRelayed;
    this.hosts = Array.from({ length: hostCount }, (_, index) => new ModelHost(this, index));
    this.hosts.forEach(({ entry }) => this.store.write({ kind: 'host', entry }, 0));
  }

  /** Starts all hosts. */
  start(): void {
    this.hosts.forEach((host) => this.startHost(host));
  }

  /** Ends all hosts. */
  stop(): void {
    this.hosts.forEach((host) => host.stop());
  }

  /** @param error - error that ended a loop of a host */
  recordError(error: unknown): void {
    this.errors.push(error);
  }

  /**
   * @param id - id of a host
   * @returns the host
   * @throws RangeError if there is no such host
   */
  getHost(id: HostId): ModelHost {
    const host = this.hosts.find(({ entry }) => entry.id === id);
    if (host === undefined) {
      throw new RangeError(`no host ${id}`);
    }
    return host;
  }

  /** @param host - a host that starts a new process */

  protected startHost(host: ModelHost): void {
    host.start();
  }
}
