import type { GrantOptions } from '../grants/GrantOptions.ts';
import type { PoolEjectionOptions } from '../health/PoolEjection.ts';
import type { RoutedUpstreamOptions } from './RoutedUpstream.ts';
import type { UpstreamSelectorOptions } from './UpstreamSelector.ts';

/** Options of a pool router. */
export interface PoolRouterOptions extends RoutedUpstreamOptions {
  readonly ejection: Partial<PoolEjectionOptions>;
  readonly grants: Partial<GrantOptions>;
  readonly selector: Partial<UpstreamSelectorOptions>;
}

/** Default options of the router: the defaults of its components. */
export const DEFAULT_POOL_ROUTER_OPTIONS: PoolRouterOptions = {
  health: {}, limit: {}, ejection: {}, grants: {}, selector: {},
};
