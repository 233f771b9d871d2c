import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import type { FaultHost } from './FaultHost.ts';
import type { Mutation } from './MUTATION.ts';

const RAISED_CONCURRENCY = 4;

/**
 * Changes what a host took over from the configuration, for mutations that lie there.
 *
 * @param mutation - the mutation; null for none
 * @param host - the host that adopted a configuration
 * @param configuration - what it adopted
 */
export function applyMutation(
  mutation: Mutation | null,
  host: FaultHost,
  configuration: ConfigurationRecord,
): void {
  const { drains, pools } = configuration;
  switch (mutation) {
    case 'ignoreCold':
      host.core.setConfiguration({
        ...configuration,
        pools: pools.map((pool) => ({ ...pool, coldConcurrency: RAISED_CONCURRENCY, warmupMs: 0 })),
      });
      break;
    case 'ignoreDomainDrain':
      host.core.setConfiguration({
        ...configuration, drains: drains.filter(({ kind }) => kind !== 'failureDomain'),
      });
      break;
    case 'ignoreUpstreamDrain':
      host.core.setConfiguration({
        ...configuration, drains: drains.filter(({ kind }) => kind !== 'upstream'),
      });
      break;
    case 'forgetUpstreams':
      if (drains.length > 1) {
        host.core.setConfiguration({ ...configuration, upstreams: [] });
      }
      break;
    case 'revert':
      if (configuration.version > 1) {
        host.core.setConfiguration({ ...configuration, version: configuration.version - 1 });
      }
      break;
    default:
  }
}
