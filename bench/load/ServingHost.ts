import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import type { CoreInput } from '../../src/core/CoreInput.ts';
import type { CoreOutput } from '../../src/core/CoreOutput.ts';

/** A host under load: the core of an entry host, or the baseline in its place. */
export interface ServingHost {
  readonly hostId: string;
  readonly failureDomainId: string;
  step(inputs: readonly CoreInput[]): CoreOutput[];
  getNextWakeMs(): number;
  setConfiguration(configuration: ConfigurationRecord): void;
}
