import type { CoreContext } from '../core/CoreContext.ts';
import type { Steward, StewardDirectory, StewardDuty } from './StewardDirectory.ts';

/** The directory of a system that consists of this host alone: it is steward of everything. */
export class SoleSteward implements StewardDirectory {
  readonly #context: CoreContext;

  /**
   * @param context - this host
   */
  constructor(context: CoreContext) {
    this.#context = context;
  }

  /** @inheritdoc */
  getSteward(): Steward {
    const { hostId, peerAddress } = this.#context.self;
    return { hostId, address: peerAddress };
  }

  /** @inheritdoc */
  getOwnDuty(): StewardDuty {
    return { epoch: 1, sinceMs: -Infinity, untilMs: Infinity };
  }

  /** @inheritdoc */
  getAddress(): string {
    return this.#context.self.peerAddress;
  }

  /** @inheritdoc */
  getHostCountBound(): number {
    return 1;
  }
}
