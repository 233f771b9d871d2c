import type {
  FailureDomainId, HostId, IncarnationId,
} from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { CoreOutput } from './CoreOutput.ts';

/** Who this process is. */
export interface SelfIdentity {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  readonly failureDomainId: FailureDomainId;
  /** `IP:port` of the own peer listener. */
  readonly peerAddress: string;
}

/** What every manager of the core shares: the time of the step, randomness and the way out. */
export interface CoreContext {
  readonly self: SelfIdentity;
  readonly random: RandomSource;
  /**
   * @returns the monotonic time of the running step, in milliseconds
   */
  getNowMs(): number;
  /**
   * Queues an output; adapters carry it out after the step.
   *
   * @param output - what is to be done outside
   */
  emit(output: CoreOutput): void;
}
