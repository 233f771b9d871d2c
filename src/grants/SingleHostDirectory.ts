import type { CoreContext } from '../core/CoreContext.ts';
import type { GrantCoordinatorHost, GrantCoordinatorDirectory, GrantCoordinatorDuty } from './GrantCoordinatorDirectory.ts';

/** The directory of a system that consists of this host alone: it is steward of everything. */
export class SingleHostDirectory implements GrantCoordinatorDirectory {
  readonly #context: CoreContext;

  /**
   * @param context - this host
   */
  constructor(context: CoreContext) {
    this.#context = context;
  }

  /** @inheritdoc */
  getGrantCoordinator(): GrantCoordinatorHost {
    const { hostId, peerAddress } = this.#context.self;
    return { hostId, address: peerAddress };
  }

  /** @inheritdoc */
  getOwnDuty(): GrantCoordinatorDuty {
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
