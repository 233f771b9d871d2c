import type { Directory } from '../directory/Directory.ts';
import type { PoolId } from '../lib/ids.ts';
import type { GroupJobs } from './GroupJobs.ts';
import { isStageDone, type JobStage, type PlacementJob } from './PlacementJob.ts';
import { getConsumers, getInputBytes, getOutputBytes } from './stageBytes.ts';

/** Chooses the preferred failure domain for a stage's pieces, during one run of a group. */
export class DomainChooser {
  readonly #directory: Directory;

  readonly #group: GroupJobs;

  /** Cached failure domains whose upstreams of a pool have the least load. */
  readonly #leastLoaded = new Map<PoolId, string | null>();

  /**
   * @param directory - knows the failure domains of upstreams
   * @param group - the waiting requests
   */
  constructor(directory: Directory, group: GroupJobs) {
    this.#directory = directory;
    this.#group = group;
  }

  /**
   * @param job - a request
   * @param stage - one of its stages
   * @returns the preferred failure domain for its pieces; null for any
   */
  choose(job: PlacementJob, stage: JobStage): string | null {
    const inputDomain = this.#getInputDomain(stage, job);
    const [consumer] = getConsumers(job, stage);
    const isOutputLarger = getOutputBytes(job, stage) > getInputBytes(job, stage);
    if (consumer === undefined) {
      return isOutputLarger ? job.preferredDomain : inputDomain ?? job.preferredDomain;
    }
    return isOutputLarger ? this.#getLeastLoaded(consumer.poolId) : inputDomain;
  }

  /** Finds the failure domain that has, or will have, most of a stage's inputs. */
  #getInputDomain(stage: JobStage, job: PlacementJob): string | null {
    const counts = new Map<string, number>();
    stage.after.flatMap((index) => job.stages[index]?.pieces ?? []).forEach(({ makerId }) => {
      const maker = makerId === null ? undefined : this.#directory.getUpstream(makerId);
      if (maker !== undefined) {
        const domain = maker.entry.failureDomain;
        counts.set(domain, (counts.get(domain) ?? 0) + 1);
      }
    });
    const [best] = [...counts].sort(([, left], [, right]) => right - left);
    return best?.[0] ?? null;
  }

  /** Finds the failure domain with the least load, by local inputs, per upstream of a pool. */
  #getLeastLoaded(poolId: PoolId): string | null {
    const known = this.#leastLoaded.get(poolId);
    if (known !== undefined) {
      return known;
    }
    const domain = this.#findLeastLoaded(poolId);
    this.#leastLoaded.set(poolId, domain);
    return domain;
  }

  #findLeastLoaded(poolId: PoolId): string | null {
    const makerCounts = new Map<string, number>();
    this.#group.getUsable(poolId).forEach(({ entry }) => {
      makerCounts.set(entry.failureDomain, (makerCounts.get(entry.failureDomain) ?? 0) + 1);
    });
    const loads = new Map<string, number>();
    this.#group.jobs.forEach((job) => job.stages
      .filter((stage) => stage.poolId === poolId && !isStageDone(stage))
      .forEach((stage) => {
        const domain = this.#getInputDomain(stage, job);
        if (domain !== null) {
          loads.set(domain, (loads.get(domain) ?? 0) + stage.pieces.length);
        }
      }));
    const [best] = [...makerCounts]
      .map(([domain, count]) => ({ domain, load: (loads.get(domain) ?? 0) / count }))
      .sort((left, right) => left.load - right.load);
    return best?.domain ?? null;
  }
}
