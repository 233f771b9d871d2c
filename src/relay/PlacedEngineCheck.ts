import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Trial } from '../quarantine/Trial.ts';
import type { Placed } from './GenerationPlacement.ts';
import type { RelayContext, RelayParameters } from './RelayContext.ts';
import type { RelayedStreamVersion } from './RelayedStreamVersion.ts';
import { TrialCheck } from './TrialCheck.ts';

/** Receives the outcome of the checks before a send. */
export interface PlacedEngineListener {
  /**
   * @param placed - the placement
   * @param engine - the engine, which may get the request now
   */
  readonly onPassed: (placed: Placed, engine: UpstreamEntry) => void;
  /** @param engineId - an engine that must not get the request */
  readonly onEngineLost: (engineId: UpstreamId) => void;
  /** @param engineId - an engine for which the quota has expired; it may be chosen again */
  readonly onQuotaExpired: (engineId: UpstreamId) => void;
  /** Called when the quarantine has begun to hold the request. */
  readonly onQuarantined: () => void;
  /** Called when it can't be found out whether the engine still has the stream's version. */
  readonly onVersionUnknown: () => void;
}

/** Options of a {@link PlacedEngineCheck}. */
export interface PlacedEngineCheckOptions {
  readonly context: Pick<
    RelayContext,
    'clock' | 'directory' | 'engineLifetimes' | 'metrics' | 'ownQuota' | 'quarantine' | 'rates'
  >;
  readonly parameters: RelayParameters;
  /** The engines at which the stream may begin or go on. */
  readonly version: RelayedStreamVersion;
  readonly listener: PlacedEngineListener;
  /** Logs an event of the request. */
  readonly log: (outcome: string, details?: Readonly<Record<string, unknown>>) => void;
}

/** Validity of a quota from the placement coordinator; see {@link QUOTA_WINDOW_MS}. */
const MAX_GRANT_AGE_MS = 100;
/** Validity of a permit from the placement coordinator. */
const PERMIT_TTL_MS = 500;

/**
 * Checks whether the engine that was chosen for a generation may get it now: it may have started to
 * drain, to start cold or to advertise a limit, and the quarantine may have begun to hold the
 * request, while the request waited.
 */
export class PlacedEngineCheck {
  readonly #options: PlacedEngineCheckOptions;

  #trial: Trial | null;

  #trialCheck: TrialCheck;

  /** Engine that was proven to run as its entry says, for the next send. */
  #provenId: UpstreamId | null = null;

  #placedAtMs = 0;

  #timer: NodeJS.Timeout | null = null;

  #isClosed = false;

  /**
   * @param options - see {@link PlacedEngineCheckOptions}
   */
  constructor(options: PlacedEngineCheckOptions) {
    this.#options = options;
    this.#trial = options.parameters.trial;
    this.#trialCheck = new TrialCheck(options.context.quarantine, this.#trial !== null);
  }

  /** @param trial - the trial as which the quarantine admits the request from now on */
  setTrial(trial: Trial): void {
    this.#trial = trial;
    this.#trialCheck = new TrialCheck(this.#options.context.quarantine, true);
  }

  /** @param placed - the engine that was just chosen */
  start(placed: Placed): void {
    this.#placedAtMs = this.#options.context.clock.getMonotonicMs();
    this.#check(placed);
  }

  /** Ends the checks; the listener is not called any more. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer ?? undefined);
  }

  #check(placed: Placed): void {
    if (this.#isClosed) {
      return;
    }
    const {
      context: {
        directory, quarantine, ownQuota,
      }, parameters, version, listener, log,
    } = this.#options;
    const engine = directory.getUpstream(placed.upstreamId)?.entry;
    if (
      engine === undefined
      || !directory.isUsable(placed.upstreamId)
      || !version.mayUse(engine)
    ) {
      listener.onEngineLost(placed.upstreamId);
      return;
    }
    if (!quarantine.maySend(parameters.subject, this.#trial)) {
      listener.onQuarantined();
      return;
    }
    if (version.required !== null && this.#provenId !== placed.upstreamId) {
      this.#proveLifetime(placed, engine);
      return;
    }
    if (!this.#trialCheck.isPassed(placed.upstreamId)) {
      this.#trialCheck.check(
        engine,
        () => this.#check(placed),
        () => this.#loseEngine(placed.upstreamId),
      );
      return;
    }
    if (!this.#tryTakePermit(placed, engine)) {
      log('permitExpired', { upstreamId: placed.upstreamId, leave: placed.leave });
      listener.onEngineLost(placed.upstreamId);
      return;
    }
    if (!this.#tryTakeQuota(placed, engine)) {
      this.#waitForQuota(placed, ownQuota.getWaitMs(engine));
      return;
    }
    this.#provenId = null;
    listener.onPassed(placed, engine);
  }

  #loseEngine(engineId: UpstreamId): void {
    if (!this.#isClosed) {
      this.#options.listener.onEngineLost(engineId);
    }
  }

  /** Lets a begun stream go on only at an engine that still runs as its entry says. */
  #proveLifetime(placed: Placed, engine: UpstreamEntry): void {
    const { context, log, listener } = this.#options;
    context.engineLifetimes.prove(engine).then((proof) => {
      log('lifetimeChecked', { upstreamId: engine.id, proof });
      if (proof === 'report' || proof === 'store') {
        this.#provenId = engine.id;
        this.#check(placed);
      } else {
        this.#loseEngine(engine.id);
      }
    }).catch((error: unknown) => {
      log('lifetimeCheckFailed', { error: String(error) });
      listener.onVersionUnknown();
    });
  }

  /** Takes the quota for the send to an engine with a cold start limit. */
  #tryTakeQuota({ quota, grantedAtMs }: Placed, engine: UpstreamEntry): boolean {
    const { clock, ownQuota } = this.#options.context;
    const ageMs = clock.getMonotonicMs() - grantedAtMs;
    if (quota === 'leased' && ageMs <= MAX_GRANT_AGE_MS) {
      return true;
    }
    if (!ownQuota.maySend(engine)) {
      return false;
    }
    ownQuota.recordSend(engine);
    return true;
  }

  /** A coordinator of an earlier version grants no quota, so that the host waits for its own. */
  #waitForQuota(placed: Placed, waitMs: number): void {
    const { listener, log } = this.#options;
    if (placed.quota === undefined && Number.isFinite(waitMs)) {
      this.#timer = setTimeout(() => this.#check(placed), waitMs);
      return;
    }
    log('quotaExpired', { upstreamId: placed.upstreamId, quota: placed.quota, waitMs });
    listener.onQuotaExpired(placed.upstreamId);
  }

  /**
   * Takes the permit for the send. The placement coordinator provides one when an engine advertises
   * a limit, but this host may have learned of the limit since, or have used up its reserve.
   */
  #tryTakePermit({ leave }: Placed, engine: UpstreamEntry): boolean {
    const { rates, clock, metrics } = this.#options.context;
    if (leave === null && !rates.isLimited(engine)) {
      return true;
    }
    const isValid = clock.getMonotonicMs() - this.#placedAtMs <= PERMIT_TTL_MS;
    const isShared = leave === 'common' && isValid;
    const hasPermit = isShared || !rates.isLimited(engine) || rates.tryTakeReserve(engine);
    metrics.recordLimitedSend(
      'generation',
      isShared ? 'common' : (hasPermit && 'reserve') || 'none',
    );
    return hasPermit;
  }
}
