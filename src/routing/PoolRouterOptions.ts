import type { GrantOptions } from '../grants/GrantOptions.ts';
import type { PoolEjectionOptions } from '../health/PoolEjection.ts';
import type { RoutedUpstreamOptions } from './RoutedUpstream.ts';
import type { UpstreamSelectorOptions } from './UpstreamSelector.ts';

/** How the router decides. */
export interface PoolRouterOptions extends RoutedUpstreamOptions {
  readonly ejection: Partial<PoolEjectionOptions>;
  readonly grants: Partial<GrantOptions>;
  readonly selector: Partial<UpstreamSelectorOptions>;
}

/** Defaults of the router: those of its parts. */
export const DEFAULT_POOL_ROUTER_OPTIONS: PoolRouterOptions = {
  health: {}, limit: {}, ejection: {}, grants: {}, selector: {},
};
