import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { PoolId } from '../lib/ids.ts';
import type { MakerRollouts, OpenMaker } from '../placement/MakerRollouts.ts';
import { PIECE_FAILURE } from '../placement/PIECE_FAILURE.ts';
import type { StageCall, StageOutcome } from '../placement/StageCall.ts';
import type { Rollouts } from './Rollouts.ts';

/** Pieces sent from this host's placements since the order of a rollout. */
interface PieceCounts {
  readonly orderId: string;
  sentCount: number;
  targetCount: number;
}

/**
 * Largest number of pieces in a call to a target that is not proven. Each call counts as one
 * answer, so that small ones prove more with the same share of the pieces.
 */
const MAX_UNPROVEN_PIECES = 4;

function getVerdict(outcome: StageOutcome): 'good' | 'bad' | 'dropped' {
  switch (outcome.kind) {
    case 'answered':
      return outcome.pieces.some((piece) => (
        piece.kind === 'failure' && piece.failure === PIECE_FAILURE.failed)) ? 'bad' : 'good';
    case 'broken':
      return 'bad';
    default:
      return 'dropped';
  }
}

/**
 * Decides for the placement coordinator which upstreams get calls of stages while a rollout runs
 * in their pool. Of the pieces that this host places, the target gets its share and never more.
 */
export class StageRollouts implements MakerRollouts {
  readonly #rollouts: Rollouts;

  readonly #directory: Directory;

  readonly #counts = new Map<PoolId, PieceCounts>();

  /**
   * @param rollouts - the rollouts that run
   * @param directory - the known upstreams
   */
  constructor(rollouts: Rollouts, directory: Directory) {
    this.#rollouts = rollouts;
    this.#directory = directory;
  }

  /** @inheritdoc */
  selectMakers<Maker extends { readonly upstream: KnownUpstream }>(
    poolId: PoolId,
    maxPieces: number,
    makers: readonly Maker[],
  ): readonly OpenMaker<Maker>[] {
    const rule = this.#rollouts.getRule(poolId);
    if (rule === null) {
      return makers.map((item) => ({ item, maxPieces }));
    }
    const isTarget = ({ entry }: KnownUpstream): boolean => (
      entry.softwareVersion === rule.targetVersion);
    const targets = makers.filter(({ upstream }) => isTarget(upstream));
    if (rule.targetShare >= 1 && this.#directory.getUsable(poolId).some(isTarget)) {
      return targets.map((item) => ({ item, maxPieces }));
    }
    const { sentCount, targetCount } = this.#getCounts(poolId, rule.orderId);
    const open = makers.filter(({ upstream: { entry } }) => (
      entry.softwareVersion !== rule.targetVersion
      && (rule.formerTarget === null || entry.softwareVersion !== rule.formerTarget)))
      .map((item) => ({ item, maxPieces }));
    let leftCount = rule.targetShare >= 1
      ? 0
      : Math.floor(sentCount * rule.targetShare - targetCount);
    const tried = targets.map((item) => {
      const count = Math.max(0, Math.min(maxPieces, MAX_UNPROVEN_PIECES, leftCount));
      leftCount -= count;
      return { item, maxPieces: count };
    }).filter(({ maxPieces: count }) => count > 0);
    return [...tried, ...open];
  }

  /** @inheritdoc */
  startCall(call: StageCall): ((outcome: StageOutcome) => void) | null {
    const { poolId } = call;
    const rule = this.#rollouts.getRule(poolId);
    const upstream = this.#directory.getUpstream(call.makerId);
    if (rule === null || upstream === undefined) {
      return null;
    }
    const counts = this.#getCounts(poolId, rule.orderId);
    counts.sentCount += call.items.length;
    if (upstream.entry.softwareVersion === rule.targetVersion) {
      counts.targetCount += call.items.length;
    }
    const attempt = this.#rollouts.open(poolId, `stage ${poolId}`, call.makerId)
      ?.startAttempt(upstream) ?? null;
    return attempt === null ? null : (outcome) => attempt.end(getVerdict(outcome));
  }

  #getCounts(poolId: PoolId, orderId: string): PieceCounts {
    const known = this.#counts.get(poolId);
    if (known?.orderId === orderId) {
      return known;
    }
    const counts = { orderId, sentCount: 0, targetCount: 0 };
    this.#counts.set(poolId, counts);
    return counts;
  }
}
