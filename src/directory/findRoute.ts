import type { ServingConfiguration, ServingRoute } from './ServingConfiguration.ts';

/**
 * Finds the route of a request: the one with the longest matching prefix among those of its host.
 *
 * @param configuration - the version in force
 * @param host - the host name in the request
 * @param path - the path, with or without a query
 * @returns the route; undefined when none matches
 */
export function findRoute(
  configuration: ServingConfiguration,
  host: string,
  path: string,
): ServingRoute | undefined {
  const [pathOnly = ''] = path.split('?', 1);
  let best: ServingRoute | undefined;
  configuration.routes.forEach((route) => {
    const isMatch = route.host === host && pathOnly.startsWith(route.pathPrefix);
    if (isMatch && (best === undefined || route.pathPrefix.length > best.pathPrefix.length)) {
      best = route;
    }
  });
  return best;
}
