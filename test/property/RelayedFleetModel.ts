import { toId, type PoolId, type UpstreamId } from '../../src/lib/ids.ts';
import { ModelFleet } from './ModelFleet.ts';
import { MODEL_BOUNDS, type ModelHost } from './ModelHost.ts';

const LEASE_TTL_MS = 6_000;
const RESTART_MS = 3_000;

/** Fault of a host. */
export type HostFault = 'kill' | 'freeze' | 'cutFromStore' | 'cutFromPeers';

/** Fleet whose hosts follow the directory through readers, under injected faults. */
export class RelayedFleetModel extends ModelFleet {
  /** Longest time for which a host in contact with the store did not know a change. */
  worstLagMs = 0;

  #upstreamCount = 0;

  /** Adds an upstream to the store; every host in contact has to know it within the bound. */
  change(): void {
    this.#upstreamCount += 1;
    this.store.write({
      kind: 'upstream',
      entry: {
        id: toId<UpstreamId>(`u${this.#upstreamCount}`),
        poolId: toId<PoolId>('pool'),
        address: 'u:1',
        failureDomain: 'a',
        isDraining: false,
        slots: 1,
        softwareVersion: 'v1',
        coldRemainingMs: 0,
        startedAtMs: 1,
      },
    }, this.time.nowMs);
  }

  /**
   * Injects a fault into a host.
   *
   * @param fault - the fault
   * @param pick - number that selects the host, modulo the number of candidates
   * @param isReader - whether to select among the readers, if there are any
   * @param durationMs - duration of the fault
   */
  injectFault(fault: HostFault, pick: number, isReader: boolean, durationMs: number): void {
    const alive = this.hosts.filter(({ isDead }) => !isDead);
    const readers = alive.filter((host) => host.readerSelector.isReader);
    const candidates = isReader && readers.length > 0 ? readers : alive;
    const host = candidates[pick % candidates.length];
    if (host === undefined) {
      return;
    }
    const untilMs = this.time.nowMs + durationMs;
    // A host without its peers still reaches the store, so its bounds still hold.
    if (fault !== 'cutFromPeers') {
      host.disturbedAtMs = Math.max(host.disturbedAtMs, untilMs);
    }
    switch (fault) {
      case 'kill':
        this.#kill(host);
        break;
      case 'freeze':
        host.frozenUntilMs = untilMs;
        break;
      case 'cutFromStore':
        host.storeCutUntilMs = untilMs;
        break;
      default:
        host.peersCutUntilMs = untilMs;
    }
  }

  /**
   * Lets time pass and checks in each step which changes the hosts know.
   *
   * @param durationMs - time to pass
   */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.time.nowMs + durationMs;
    while (this.time.nowMs < untilMs) {
      // eslint-disable-next-line no-await-in-loop -- one step after the other
      await this.time.run(Math.min(100, untilMs - this.time.nowMs));
      this.#check();
    }
  }

  #kill(host: ModelHost): void {
    host.stop();
    const { entry } = host;
    this.time.sleep(RESTART_MS).then(() => {
      host.start();
      this.store.write({ kind: 'host', entry }, this.time.nowMs);
    }).catch((error: unknown) => this.recordError(error));
    this.time.sleep(LEASE_TTL_MS).then(() => {
      this.store.write({ kind: 'hostGone', hostId: entry.id }, this.time.nowMs);
      this.store.write({ kind: 'host', entry }, this.time.nowMs);
    }).catch((error: unknown) => this.recordError(error));
  }

  #check(): void {
    const hostsInContact = this.hosts.filter(({ isDead, disturbedAtMs }) => (
      !isDead && this.time.nowMs - disturbedAtMs >= MODEL_BOUNDS.contactMs));
    this.store.changes.forEach((change, index) => {
      if (change.kind === 'upstream') {
        const ageMs = this.time.nowMs - (this.store.writtenAtMs[index] ?? 0);
        const isMissing = hostsInContact
          .some(({ directory }) => directory.getUpstream(change.entry.id) === undefined);
        this.worstLagMs = isMissing ? Math.max(this.worstLagMs, ageMs) : this.worstLagMs;
      }
    });
  }
}
