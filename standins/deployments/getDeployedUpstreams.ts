import { assertExists } from '../../src/lib/assertExists.ts';
import type { DeployedUpstream, DeploymentDescription } from './DeploymentDescription.ts';

/**
 * Lists the upstreams of a deployment.
 *
 * @param deployment - the deployment
 * @returns its upstreams, named after their pool and assigned to the failure domains in turn
 */
export function getDeployedUpstreams(deployment: DeploymentDescription): DeployedUpstream[] {
  const { failureDomainIds } = deployment;
  return deployment.pools.flatMap((pool) => Array.from(
    { length: pool.upstreamCount },
    (_, index) => {
      const failureDomainId = failureDomainIds[index % failureDomainIds.length];
      const upstreamId = `${pool.record.id}-${index + 1}`;
      return {
        upstreamId,
        poolId: pool.record.id,
        kind: pool.record.kind,
        failureDomainId: assertExists(failureDomainId, 'The deployment has no failure domains.'),
        standinOptions: { ...pool.standinOptions, upstreamId },
      };
    },
  ));
}
