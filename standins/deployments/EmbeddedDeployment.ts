import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import { exhaustiveSwitchError } from '../../src/lib/exhaustiveSwitchError.ts';
import { EngineStandin } from '../EngineStandin.ts';
import { PlatformStandin, type PlatformStandinOptions } from '../PlatformStandin.ts';
import { ServiceStandin } from '../ServiceStandin.ts';
import { StagePoolStandin } from '../StagePoolStandin.ts';
import type { DeployedUpstream, DeploymentDescription } from './DeploymentDescription.ts';
import { createDeploymentConfiguration } from './createDeploymentConfiguration.ts';
import { getDeployedUpstreams } from './getDeployedUpstreams.ts';
import { putConfiguration } from './putConfiguration.ts';

type UpstreamStandin = EngineStandin | StagePoolStandin | ServiceStandin;

function createUpstreamStandin(upstream: DeployedUpstream): Promise<UpstreamStandin> {
  switch (upstream.kind) {
    case 'engine':
      return EngineStandin.create(upstream.standinOptions);
    case 'stagePool':
      return StagePoolStandin.create(upstream.standinOptions);
    case 'service':
      return ServiceStandin.create(upstream.standinOptions);
    default:
      throw exhaustiveSwitchError(upstream.kind);
  }
}

/** Runs a deployment's platform and upstreams in this process. */
export class EmbeddedDeployment {
  readonly platform: PlatformStandin;

  /** The upstream stand-ins by upstream id. */
  readonly upstreams: ReadonlyMap<string, UpstreamStandin>;

  readonly configuration: ConfigurationRecord;

  private constructor(
    platform: PlatformStandin,
    upstreams: ReadonlyMap<string, UpstreamStandin>,
    configuration: ConfigurationRecord,
  ) {
    this.platform = platform;
    this.upstreams = upstreams;
    this.configuration = configuration;
  }

  /**
   * Starts all stand-ins of a deployment on free ports.
   *
   * @param deployment - the deployment
   * @param options - overrides of the defaults: the platform's options; `warmupMs` for every
   * upstream and its pool
   * @returns the deployment, with all stand-ins listening
   */
  static async create(
    deployment: DeploymentDescription,
    options: { platform?: Partial<PlatformStandinOptions>; warmupMs?: number } = {},
  ): Promise<EmbeddedDeployment> {
    const { warmupMs } = options;
    const adapted = warmupMs === undefined ? deployment : {
      ...deployment,
      pools: deployment.pools.map((pool) => ({
        ...pool,
        record: { ...pool.record, warmupMs },
        standinOptions: { ...pool.standinOptions, warmupMs },
      })),
    };
    const platform = await PlatformStandin.create(options.platform);
    const entries = await Promise.all(getDeployedUpstreams(adapted).map(async (upstream) => {
      const standin = await createUpstreamStandin(upstream);
      return [upstream.upstreamId, standin] as const;
    }));
    const upstreams = new Map(entries);
    const urls = new Map(entries.map(([upstreamId, standin]) => [upstreamId, standin.url]));
    const configuration = createDeploymentConfiguration(adapted, urls);
    return new EmbeddedDeployment(platform, upstreams, configuration);
  }

  /**
   * Writes the configuration to the platform as the first version.
   *
   * @throws Error if the platform already has a configuration
   */
  async putConfiguration(): Promise<void> {
    await putConfiguration(this.platform.url, this.configuration);
  }

  /** Stops all stand-ins. */
  async close(): Promise<void> {
    const standins = [...this.upstreams.values(), this.platform];
    await Promise.all(standins.map((standin) => standin.close()));
  }
}
