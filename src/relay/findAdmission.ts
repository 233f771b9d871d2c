import { findRoute } from '../directory/findRoute.ts';
import type {
  ServingAccount, ServingConfiguration, ServingRoute,
} from '../directory/ServingConfiguration.ts';
import type { CallerRequest } from '../ingress/CallerRequest.ts';

/** What a configuration says of a request. */
export type RequestAdmission =
  | {
    readonly kind: 'allowed';
    readonly route: ServingRoute;
    /** Account of the caller; null on a public route, or where requests carry no keys. */
    readonly account: ServingAccount | null;
  }
  | { readonly kind: 'noRoute' }
  | { readonly kind: 'unknownKey' };

/**
 * @param configuration - a version of the configuration
 * @param request - a request
 * @returns its route and account, or why the version does not allow it
 */
export function findAdmission(
  configuration: ServingConfiguration,
  { host, path, profile }: Pick<CallerRequest, 'host' | 'path' | 'profile'>,
): RequestAdmission {
  const { accountsByKey } = configuration;
  const route = findRoute(configuration, host, path);
  if (route === undefined) {
    return { kind: 'noRoute' };
  }
  const account = profile.callerKey === null
    ? null
    : accountsByKey?.get(profile.callerKey) ?? null;
  return account === null && accountsByKey !== null && !route.isPublic
    ? { kind: 'unknownKey' }
    : { kind: 'allowed', route, account };
}
