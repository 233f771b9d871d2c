import type { RolloutDecision } from '../../src/rollouts/RolloutStatus.ts';
import type { RolloutStore } from '../../src/rollouts/RolloutStore.ts';
import type { SuspectId } from '../../src/quarantine/SuspectId.ts';
import type { RenewResult, StoreLease } from '../../src/directory/StoreLease.ts';
import type {
  BegunStreams, PoolVersionRecord, StreamVersionStore,
} from '../../src/streams/StreamVersionStore.ts';
import type { HostId, PoolId, UpstreamId } from '../../src/lib/ids.ts';
import type {
  CrashReport, QuarantineStore, TrialRecord,
} from '../../src/quarantine/QuarantineStore.ts';
import type { UpstreamEntry } from '../../src/directory/UpstreamEntry.ts';
import type { ServingConfiguration } from '../../src/directory/ServingConfiguration.ts';
import type { HostEntry } from '../../src/directory/HostEntry.ts';
import type { DirectoryChange } from '../../src/directory/DirectoryChange.ts';
import type {
  DirectorySnapshot, DirectoryStore, FollowResult,
} from '../../src/directory/DirectoryStore.ts';

const FOLLOW_PAUSE_MS = 20;

/** In-memory directory store whose changes the test can append to. */
export class MemoryDirectoryStore
implements DirectoryStore, QuarantineStore, RolloutStore, StreamVersionStore {
  readonly changes: DirectoryChange[] = [];

  /** Entries of upstreams that hosts do not learn of through the changes. */
  readonly restartedUpstreams = new Map<UpstreamId, UpstreamEntry>();

  /** Whether reads of single entries fail. */
  isUnavailable = false;

  readonly #poolVersions = new Map<PoolId, PoolVersionRecord>();

  /** Revision of the newest status of each rollout. */
  readonly #rolloutRevisions = new Map<PoolId, number>();

  readonly #trialRevisions = new Map<string, number>();

  async readAll(): Promise<DirectorySnapshot> {
    return { changes: [...this.changes], revision: this.changes.length };
  }

  async follow(revision: number): Promise<FollowResult> {
    await new Promise((resolve) => {
      setTimeout(resolve, FOLLOW_PAUSE_MS);
    });
    const changes = this.changes.slice(revision);
    return {
      kind: 'changes',
      changes,
      revision: this.changes.length,
      payload: JSON.stringify(changes),
      configurationPayload: null,
    };
  }

  decodeChanges(payload: string): readonly DirectoryChange[] {
    return JSON.parse(payload) as DirectoryChange[];
  }

  decodeConfiguration(encoded: string): ServingConfiguration {
    const found = this.changes.findLast((change) => (
      change.kind === 'configuration' && change.configuration.encoded === encoded));
    if (found?.kind !== 'configuration') {
      throw new Error(`there is no configuration ${encoded}`);
    }
    return found.configuration;
  }

  async createLease(): Promise<StoreLease> {
    return { era: 1, id: 1 };
  }

  async renewLease(): Promise<RenewResult> {
    return 'renewed';
  }

  async endLease(): Promise<void> {
    return undefined;
  }

  async writeHost(entry: HostEntry): Promise<RenewResult> {
    this.changes.push({
      kind: 'host', entry: { ...entry, registeredRevision: this.changes.length },
    });
    return 'renewed';
  }

  async writeCrash(report: CrashReport, hostId: HostId): Promise<RenewResult> {
    this.changes.push({
      kind: 'crashRecorded', report, hostId, revision: this.changes.length + 1,
    });
    return 'renewed';
  }

  async writeCleared(suspectId: SuspectId): Promise<RenewResult> {
    this.#trialRevisions.delete(suspectId);
    this.changes.push({
      kind: 'suspectCleared', suspectId, revision: this.changes.length + 1,
    });
    return 'renewed';
  }

  async writeTrials({
    suspectId, trialCount, expectedRevision: knownRevision,
  }: TrialRecord): Promise<number | null> {
    if ((this.#trialRevisions.get(suspectId) ?? 0) !== knownRevision) {
      return null;
    }
    const revision = this.changes.length + 1;
    this.#trialRevisions.set(suspectId, revision);
    this.changes.push({
      kind: 'suspectTried', suspectId, trialCount, revision,
    });
    return revision;
  }

  async writeBegunStreams(
    batchId: string,
    batch: readonly BegunStreams[],
  ): Promise<RenewResult> {
    this.changes.push({ kind: 'streamsBegun', batchId, batch });
    return 'renewed';
  }

  async writePoolVersion(
    poolId: PoolId,
    soleVersion: string | null,
    expectedRevision: number,
  ): Promise<number | null> {
    if ((this.#poolVersions.get(poolId)?.revision ?? 0) !== expectedRevision) {
      return null;
    }
    const revision = this.changes.length + 1;
    const record = {
      poolId, soleVersion, writtenInEra: 0, revision,
    };
    this.#poolVersions.set(poolId, record);
    this.changes.push({ kind: 'poolVersionRecorded', record });
    return revision;
  }

  async readPoolVersion(poolId: PoolId): Promise<PoolVersionRecord | null> {
    return this.#poolVersions.get(poolId) ?? null;
  }

  async readUpstream(upstreamId: UpstreamId): Promise<UpstreamEntry | null> {
    if (this.isUnavailable) {
      throw new Error('the store turns this host away');
    }
    const entries = this.changes.flatMap((change) => (
      change.kind === 'upstream' && change.entry.id === upstreamId ? [change.entry] : []));
    return this.restartedUpstreams.get(upstreamId) ?? entries.at(-1) ?? null;
  }

  async writeRolloutStatus(
    decision: RolloutDecision,
    expectedRevision: number,
  ): Promise<number | null> {
    if ((this.#rolloutRevisions.get(decision.poolId) ?? 0) !== expectedRevision) {
      return null;
    }
    const revision = this.changes.length + 1;
    this.#rolloutRevisions.set(decision.poolId, revision);
    this.changes.push({ kind: 'rolloutStatus', status: { ...decision, revision } });
    return revision;
  }

  async recordHostCount(count: number): Promise<void> {
    this.changes.push({ kind: 'hostCount', count, revision: this.changes.length });
  }
}
