import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { ServingRoute } from '../directory/ServingConfiguration.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { RequestProfile } from '../ingress/CallerRequest.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { RolloutRequest } from '../rollouts/RolloutRequest.ts';
import type { Rollouts } from '../rollouts/Rollouts.ts';
import type { EngineLifetimes } from '../streams/EngineLifetimes.ts';
import type { StreamVersionAnswer, StreamVersions } from '../streams/StreamVersions.ts';

/** Options of a {@link RelayedStreamVersion}. */
export interface RelayedStreamVersionOptions {
  readonly directory: Directory;
  readonly streamVersions: StreamVersions;
  readonly lifetimes: Pick<EngineLifetimes, 'findVersion' | 'isAwaiting'>;
  readonly profile: RequestProfile;
  readonly poolId: PoolId;
  readonly route: Pick<ServingRoute, 'name' | 'isResumable'>;
  /** Restricts where the stream begins while its pool moves to another version. */
  readonly rollouts: Pick<Rollouts, 'open'>;
}

type BeginState =
  | { readonly kind: 'notBegun' }
  /** The caller has an event; the version is null while or when it is unknown. */
  | { readonly kind: 'begun'; readonly softwareVersion: string | null };

/** The software version at which one relayed stream began, and the engines where it may go on. */
export class RelayedStreamVersion {
  readonly #options: RelayedStreamVersionOptions;

  #state: BeginState = { kind: 'notBegun' };

  /** Whether it is being found out which process of the engine began the stream. */
  #isFindingVersion = false;

  /** Resolves once the engine that began the stream has been asked; null if it need not be. */
  #asking: Promise<void> | null = null;

  #rollout: RolloutRequest | null = null;

  /**
   * @param options - see {@link RelayedStreamVersionOptions}
   */
  constructor(options: RelayedStreamVersionOptions) {
    this.#options = options;
  }

  /** The rollout that runs in the pool; null when none does. */
  get rollout(): RolloutRequest | null {
    const {
      rollouts, poolId, profile, route,
    } = this.#options;
    if (this.#rollout?.isCurrent !== true) {
      this.#rollout = rollouts.open(poolId, route.name, profile.id);
    }
    return this.#rollout;
  }

  /** Whether the caller resumes a stream that it has events of. */
  get isResumption(): boolean {
    const { route: { isResumable }, profile } = this.#options;
    return isResumable && profile.lastEventId !== null;
  }

  /** Version that an engine must have; null for any. */
  get required(): string | null {
    return this.#state.kind === 'begun' ? this.#state.softwareVersion : null;
  }

  /** Resolves once {@link mayGoOn} no longer depends on the answer of an engine. */
  async settle(): Promise<void> {
    await this.#asking;
  }

  /** Whether the stream may go on at an engine other than the one that began it. */
  get mayGoOn(): boolean {
    return this.#state.kind === 'notBegun' || this.#state.softwareVersion !== null;
  }

  /**
   * Finds the version of the stream that the caller resumes.
   *
   * @returns the version, or why it is unknown
   */
  async find(): Promise<StreamVersionAnswer> {
    const answer = await this.#findRecord();
    this.#state = {
      kind: 'begun', softwareVersion: answer.kind === 'known' ? answer.softwareVersion : null,
    };
    return answer;
  }

  /** Finds the record; that of the pool leaves out engines whose restart it doesn't show yet. */
  async #findRecord(): Promise<StreamVersionAnswer> {
    const {
      streamVersions, lifetimes, poolId, profile,
    } = this.#options;
    const answer = await streamVersions.find(poolId, profile.resumedRequestId);
    return answer.kind === 'known' && answer.source === 'pool' && lifetimes.isAwaiting(poolId)
      ? { kind: 'unknown', detail: 'an engine of the pool has started again' }
      : answer;
  }

  /**
   * @param engine - an engine
   * @returns whether the stream may begin or go on there
   */
  mayUse(engine: UpstreamEntry): boolean {
    return this.#isOfVersion(engine)
      && (this.#state.kind === 'begun' || this.rollout?.mayUse(engine) !== false);
  }

  /** Whether the stream may begin or go on at the version of an engine. */
  #isOfVersion({ softwareVersion }: UpstreamEntry): boolean {
    const { route: { isResumable }, streamVersions, poolId } = this.#options;
    if (!isResumable) {
      return true;
    }
    return this.#state.kind === 'begun'
      ? this.#state.softwareVersion !== null && this.#state.softwareVersion === softwareVersion
      : streamVersions.mayBegin(poolId, softwareVersion);
  }

  /** @returns the usable engines where the stream may neither begin nor go on */
  getUnfitIds(): UpstreamId[] {
    const { directory, poolId } = this.#options;
    const usable = directory.getUsable(poolId);
    const fit = this.#selectOpen(usable.filter(({ entry }) => this.#isOfVersion(entry)));
    return fit.length === usable.length
      ? []
      : usable.filter((engine) => !fit.includes(engine)).map(({ entry }) => entry.id);
  }

  /** Leaves out the engines that a rollout keeps from a stream which has not begun. */
  #selectOpen(fit: readonly KnownUpstream[]): readonly KnownUpstream[] {
    return this.#state.kind === 'begun' ? fit : this.rollout?.select(fit) ?? fit;
  }

  /** Whether engines are usable, but none of those may begin the stream yet. */
  get isAwaitingRecord(): boolean {
    const { directory, poolId } = this.#options;
    const usable = directory.getUsable(poolId);
    return this.#state.kind === 'notBegun'
      && usable.length > 0
      && usable.every(({ entry }) => !this.#isOfVersion(entry));
  }

  /**
   * @param excludedIds - engines that the stream may not use
   * @returns whether no engine that isn't leaving has the version that began the stream
   */
  isVersionGone(excludedIds: ReadonlySet<UpstreamId>): boolean {
    const { directory, poolId } = this.#options;
    const { required } = this;
    return required !== null && !directory.getListed(poolId).some(({ entry }) => (
      entry.softwareVersion === required
      && !excludedIds.has(entry.id)
      && !directory.isLeaving(entry)));
  }

  /**
   * Records that the caller gets the first event of its answer.
   *
   * @param engine - the engine's entry when the request was sent to it
   */
  recordFirstEvent(engine: UpstreamEntry): void {
    if (!this.#options.route.isResumable) {
      return;
    }
    if (this.#state.kind === 'notBegun') {
      this.#state = { kind: 'begun', softwareVersion: null };
      this.#findVersion(engine);
    } else {
      this.#recordBegun();
    }
  }

  /**
   * Records that the caller gets an event. A stream whose version is unknown can't go on at another
   * engine, so that the events come from the one that began it, which is asked again.
   *
   * @param engine - the engine's entry when the request was sent to it
   */
  recordEvent(engine: UpstreamEntry): void {
    const isUnknown = this.#state.kind === 'begun' && this.#state.softwareVersion === null;
    if (isUnknown && !this.isResumption && !this.#isFindingVersion) {
      this.#findVersion(engine);
    }
  }

  /** Finds the version of the process that sent the last event. */
  #findVersion(engine: UpstreamEntry): void {
    this.#isFindingVersion = true;
    this.#asking = this.#options.lifetimes.findVersion(engine, (softwareVersion) => {
      this.#isFindingVersion = false;
      this.#state = { kind: 'begun', softwareVersion };
      this.#recordBegun();
    });
  }

  #recordBegun(): void {
    const { streamVersions, poolId, profile } = this.#options;
    const begunId = this.isResumption ? profile.resumedRequestId : profile.id;
    if (this.#state.kind === 'begun' && this.#state.softwareVersion !== null && begunId !== null) {
      streamVersions.recordBegun(poolId, begunId, this.#state.softwareVersion);
    }
  }
}
