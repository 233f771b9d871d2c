import { GrantHolder } from '../../src/grants/GrantHolder.ts';
import type { GrantOptions } from '../../src/grants/GrantOptions.ts';
import { GrantSteward } from '../../src/grants/GrantSteward.ts';
import type { Steward, StewardDirectory, StewardDuty } from '../../src/grants/StewardDirectory.ts';
import { DriftingContext } from '../support/DriftingContext.ts';
import type { GrantModel } from './GrantModel.ts';

/** One entry host: a holder and a steward. */
export class GrantModelHost implements StewardDirectory {
  readonly context: DriftingContext;

  readonly holder: GrantHolder;

  readonly steward: GrantSteward;

  readonly model: GrantModel;

  duty: StewardDuty | null = null;

  isPaused = false;

  constructor(model: GrantModel, index: number, options: Partial<GrantOptions>) {
    this.model = model;
    this.context = new DriftingContext(`host-${index}`, model.clock, index + 1);
    this.holder = new GrantHolder(this.context, this, (steward, message) => {
      model.post(this, steward.hostId, message);
    }, options);
    this.steward = new GrantSteward(this.context, this, options);
  }

  getSteward(): Steward | null {
    return this.model.getSteward(this);
  }

  getOwnDuty(): StewardDuty | null {
    return this.duty;
  }

  getAddress(): string {
    return '';
  }

  getHostCountBound(): number {
    return this.model.hosts.length;
  }
}
