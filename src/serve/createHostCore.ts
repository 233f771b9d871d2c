import { ClaimManager } from '../claims/ClaimManager.ts';
import { DEFAULT_CLAIM_OPTIONS } from '../claims/ClaimOptions.ts';
import { ConfigurationManager } from '../configuration/ConfigurationManager.ts';
import { Core } from '../core/Core.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import { CostLedger } from '../cost/CostLedger.ts';
import { DEFAULT_COST_OPTIONS } from '../cost/CostOptions.ts';
import { createFleetListener } from '../fleet/createFleetListener.ts';
import { FleetManager } from '../fleet/FleetManager.ts';
import { Quarantine } from '../quarantine/Quarantine.ts';
import { PoolRouter } from '../routing/PoolRouter.ts';
import type { Clock } from '../time/Clock.ts';

/**
 * Creates the core of an entry host from its managers and connects them to the fleet.
 *
 * @param context - identity, time, randomness and the queue of outputs
 * @param clock - wall clock for times that other processes read
 * @returns the core
 */
export function createHostCore(context: CoreContext, clock: Clock): Core {
  const fleet = new FleetManager(context, { start: { startedAtMs: clock.getWallMs() } });
  const claims = new ClaimManager(context, {
    ...DEFAULT_CLAIM_OPTIONS, getWallMs: () => clock.getWallMs(),
  });
  const costs = new CostLedger(context, {
    ...DEFAULT_COST_OPTIONS, getWallMs: () => clock.getWallMs(),
  });
  const quarantine = new Quarantine(context);
  const getMembers = () => fleet.getMembers();
  const configurationManager = new ConfigurationManager(context, { getMembers });
  fleet.setListener(createFleetListener({
    self: context.self,
    claims,
    costs,
    quarantine,
    configuration: configurationManager.follower,
    getMembers,
  }));
  return new Core(context, {
    fleet,
    configurationManager,
    claims,
    costs,
    ledger: costs,
    quarantine,
    router: new PoolRouter(context, fleet.duties),
  });
}
