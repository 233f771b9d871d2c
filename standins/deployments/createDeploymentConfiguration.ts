import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import { assertExists } from '../../src/lib/assertExists.ts';
import { getTextDigest } from '../getStandinText.ts';
import type { DeploymentDescription } from './DeploymentDescription.ts';
import { getCallerKey } from './getCallerKey.ts';
import { getDeployedUpstreams } from './getDeployedUpstreams.ts';

/**
 * Creates the configuration of a deployment.
 *
 * @param deployment - the deployment
 * @param urls - the base address of each upstream, by its id
 * @returns the first version of the configuration
 * @throws Error if an upstream has no address
 */
export function createDeploymentConfiguration(
  deployment: DeploymentDescription,
  urls: ReadonlyMap<string, string>,
): ConfigurationRecord {
  const pipelineIds = deployment.pipelines.map((pipeline) => pipeline.id);
  return {
    version: 1,
    planId: `deployment-${deployment.name}`,
    pools: deployment.pools.map((pool) => pool.record),
    upstreams: getDeployedUpstreams(deployment).map((upstream) => ({
      id: upstream.upstreamId,
      poolId: upstream.poolId,
      failureDomainId: upstream.failureDomainId,
      url: assertExists(
        urls.get(upstream.upstreamId),
        `${upstream.upstreamId} has no address: start its stand-in first`,
      ),
    })),
    pipelines: [...deployment.pipelines],
    accounts: deployment.accounts.map((account) => ({
      ...account,
      keySha256: getTextDigest(getCallerKey(account.id)),
      pipelineIds,
    })),
    drains: [],
  };
}
