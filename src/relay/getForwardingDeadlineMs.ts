import { findRoute } from '../directory/findRoute.ts';
import type { ServingConfiguration } from '../directory/ServingConfiguration.ts';
import type { CallerRequest } from '../ingress/CallerRequest.ts';

/**
 * Computes until when a request may take that this host passes on to another one. The other host
 * applies the route's timeout from its own arrival on, but does not see when the caller sent it.
 *
 * @param configuration - the version in force
 * @param request - the request
 * @param defaultRemainingMs - time that a caller waits when it names none
 * @returns monotonic time of the final answer at the latest
 */
export function getForwardingDeadlineMs(
  configuration: ServingConfiguration,
  request: Pick<CallerRequest, 'profile' | 'host' | 'path' | 'arrivedAtMs'>,
  defaultRemainingMs: number,
): number {
  const timeoutMs = findRoute(configuration, request.host, request.path)?.timeoutMs ?? Infinity;
  const remainingMs = request.profile.remainingMs ?? defaultRemainingMs;
  return request.arrivedAtMs + Math.min(remainingMs, timeoutMs);
}
