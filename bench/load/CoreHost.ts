import { ConfigurationManager } from '../../src/configuration/ConfigurationManager.ts';
import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import { Core } from '../../src/core/Core.ts';
import type { CoreContext, SelfIdentity } from '../../src/core/CoreContext.ts';
import type { CoreInput } from '../../src/core/CoreInput.ts';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';
import type { GrantCoordinatorDirectory } from '../../src/grants/GrantCoordinatorDirectory.ts';
import { toId } from '../../src/lib/ids.ts';
import { Quarantine } from '../../src/quarantine/Quarantine.ts';
import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { PoolRouter } from '../../src/routing/PoolRouter.ts';
import type { ManualClock } from '../../src/time/ManualClock.ts';
import { ScriptedClaims } from '../../test/support/ScriptedClaims.ts';
import type { ServingHost } from './ServingHost.ts';

/** The core of one entry host under the benchmark's manual clock; claims are granted at once. */
export class CoreHost implements ServingHost, CoreContext {
  readonly hostId: string;

  readonly failureDomainId: string;

  readonly self: SelfIdentity;

  readonly random: SeededRandomSource;

  readonly router: PoolRouter;

  readonly #clock: ManualClock;

  readonly #core: Core;

  #outputs: CoreOutput[] = [];

  constructor(
    name: { readonly hostId: string; readonly failureDomainId: string },
    clock: ManualClock,
    seed: number,
    createDirectory: (context: CoreContext) => GrantCoordinatorDirectory,
  ) {
    this.hostId = name.hostId;
    this.failureDomainId = name.failureDomainId;
    this.self = {
      hostId: toId(name.hostId),
      incarnationId: toId(`${name.hostId}/1`),
      failureDomainId: toId(name.failureDomainId),
      peerAddress: name.hostId,
    };
    this.#clock = clock;
    this.random = new SeededRandomSource(seed);
    this.router = new PoolRouter(this, createDirectory(this));
    this.#core = new Core(this, {
      quarantine: new Quarantine(this),
      router: this.router,
      claims: new ScriptedClaims(),
      costs: { book: () => undefined },
      configurationManager: new ConfigurationManager(this),
    });
  }

  getNowMs(): number {
    return this.#clock.getMonotonicMs();
  }

  emit(output: CoreOutput): void {
    this.#outputs.push(output);
  }

  step(inputs: readonly CoreInput[]): CoreOutput[] {
    this.#core.step(inputs);
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  getNextWakeMs(): number {
    return this.#core.getNextWakeMs();
  }

  setConfiguration(configuration: ConfigurationRecord): void {
    this.#core.setConfiguration(configuration);
  }
}
