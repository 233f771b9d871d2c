import type {
  FailureDomainId, HostId, IncarnationId,
} from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { CoreOutput } from './CoreOutput.ts';

/** Identity of this process. */
export interface SelfIdentity {
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  readonly failureDomainId: FailureDomainId;
  /** `IP:port` of this host's peer listener. */
  readonly peerAddress: string;
}

/** Context shared by the core's managers: identity, time of the step, randomness and outputs. */
export interface CoreContext {
  readonly self: SelfIdentity;
  readonly random: RandomSource;
  /**
   * @returns the monotonic time of the running step, in milliseconds
   */
  getNowMs(): number;
  /**
   * Queues an output; adapters execute it after the step.
   *
   * @param output - the action that an adapter executes
   */
  emit(output: CoreOutput): void;
}
