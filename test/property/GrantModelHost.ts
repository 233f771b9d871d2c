import { GrantHolder } from '../../src/grants/GrantHolder.ts';
import type { GrantOptions } from '../../src/grants/GrantOptions.ts';
import { GrantCoordinator } from '../../src/grants/GrantCoordinator.ts';
import type {
  GrantCoordinatorHost, GrantCoordinatorDirectory, GrantCoordinatorDuty,
} from '../../src/grants/GrantCoordinatorDirectory.ts';
import { DriftingContext } from '../support/DriftingContext.ts';
import type { GrantModel } from './GrantModel.ts';

/** One entry host: a holder and a steward. */
export class GrantModelHost implements GrantCoordinatorDirectory {
  readonly context: DriftingContext;

  readonly holder: GrantHolder;

  readonly coordinator: GrantCoordinator;

  readonly model: GrantModel;

  duty: GrantCoordinatorDuty | null = null;

  isPaused = false;

  constructor(model: GrantModel, index: number, options: Partial<GrantOptions>) {
    this.model = model;
    this.context = new DriftingContext(`host-${index}`, model.clock, index + 1);
    this.holder = new GrantHolder(this.context, this, (grantCoordinator, message) => {
      model.post(this, grantCoordinator.hostId, message);
    }, options);
    this.coordinator = new GrantCoordinator(this.context, this, options);
  }

  getGrantCoordinator(): GrantCoordinatorHost | null {
    return this.model.getCoordinator(this);
  }

  getOwnDuty(): GrantCoordinatorDuty | null {
    return this.duty;
  }

  getAddress(): string {
    return '';
  }

  getHostCountBound(): number {
    return this.model.hosts.length;
  }
}
