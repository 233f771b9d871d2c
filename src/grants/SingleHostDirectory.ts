import type { CoreContext } from '../core/CoreContext.ts';
import type {
  GrantCoordinatorHost, GrantCoordinatorDirectory, GrantCoordinatorDuty,
} from './GrantCoordinatorDirectory.ts';

/** Directory of a single-host system, in which this host is the coordinator of all upstreams. */
export class SingleHostDirectory implements GrantCoordinatorDirectory {
  readonly #context: CoreContext;

  /**
   * @param context - provides the identity of this host
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
