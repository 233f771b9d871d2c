import type { HostStatus } from '../../src/operators/HostStatus.ts';

const DOMAINS = ['domain-a', 'domain-b', 'domain-c'];

/**
 * @returns status of a host with two pools, a drained failure domain and a lagging, suspect host
 */
export function createSampleStatus(): HostStatus {
  return {
    hostId: 'entry-a1',
    incarnationId: 'f'.repeat(32),
    failureDomainId: 'domain-a',
    isReady: true,
    notReadyReason: '',
    isPlatformReachable: true,
    configurationVersion: 7,
    members: DOMAINS.map((failureDomainId, index) => ({
      hostId: `entry-${failureDomainId.slice(-1)}1`,
      failureDomainId,
      state: index === 2 ? 'suspect' : 'alive',
      configurationVersion: index === 2 ? 6 : 7,
    })),
    pools: ['encoders', 'engines'].map((poolId) => ({
      poolId,
      kind: 'stagePool',
      upstreams: DOMAINS.map((failureDomainId, index) => ({
        upstreamId: `${poolId}-${failureDomainId.slice(-1)}`,
        failureDomainId,
        state: index === 2 ? 'warming' : 'warm',
        limit: 8,
        inFlightCount: index,
        isDrained: index === 1,
      })),
    })),
    failureDomains: DOMAINS.map((failureDomainId, index) => ({
      failureDomainId, hostCount: 1, upstreamCount: 2, isDrained: index === 1,
    })),
    drains: [{ kind: 'failureDomain', id: 'domain-b' }],
    attainment: [{ pipelineId: 'seating', requestCount: 200, onTimeCount: 199 }],
    stageLatencies: [{
      pipelineId: 'seating', stageId: 'generate', count: 200, p50Ms: 310, p95Ms: 480, p99Ms: 700,
    }],
    costByStage: [{ name: 'seating/generate', attemptCount: 200, costMicros: 19_000 }],
    costByAccount: [{ name: 'shul-1', attemptCount: 200, costMicros: 19_000 }],
    refusals: [{ code: 'deadline-unreachable', count: 1 }],
  };
}
