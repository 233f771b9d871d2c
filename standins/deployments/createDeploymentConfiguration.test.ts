import { deepEqual, equal, throws } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Value } from '@sinclair/typebox/value';
import {
  configurationRecordSchema,
} from '../../src/configuration/records/ConfigurationRecord.ts';
import { BENGAL_DEPLOYMENT } from './BENGAL_DEPLOYMENT.ts';
import { MIDLANDS_DEPLOYMENT } from './MIDLANDS_DEPLOYMENT.ts';
import { createDeploymentConfiguration } from './createDeploymentConfiguration.ts';
import { getDeployedUpstreams } from './getDeployedUpstreams.ts';

describe('createDeploymentConfiguration', () => {
  [MIDLANDS_DEPLOYMENT, BENGAL_DEPLOYMENT].forEach((deployment) => {
    const upstreams = getDeployedUpstreams(deployment);
    const urls = new Map(upstreams.map(({ upstreamId }) => [upstreamId, 'http://127.0.0.1:1']));

    it(`creates a valid configuration of ${deployment.name}`, () => {
      const configuration = createDeploymentConfiguration(deployment, urls);
      deepEqual([...Value.Errors(configurationRecordSchema, configuration)], []);
      const poolIds = new Set(configuration.pools.map((pool) => pool.id));
      const stages = configuration.pipelines.flatMap((pipeline) => pipeline.stages);
      equal(stages.every((stage) => poolIds.has(stage.poolId)), true);
    });

    it(`places an upstream of each pool of ${deployment.name} in each failure domain`, () => {
      deployment.pools.forEach((pool) => {
        const domains = upstreams
          .filter((upstream) => upstream.poolId === pool.record.id)
          .map((upstream) => upstream.failureDomainId);
        equal(new Set(domains).size, deployment.failureDomainIds.length);
      });
    });
  });

  it('throws an error that names an upstream without an address', () => {
    throws(() => createDeploymentConfiguration(MIDLANDS_DEPLOYMENT, new Map()), /engine-1/);
  });
});
