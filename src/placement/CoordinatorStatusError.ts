import type { HostId } from '../lib/ids.ts';

/** A coordinator answered a placement with a status other than success, so that it still runs. */
export class CoordinatorStatusError extends Error {
  /**
   * @param hostId - the coordinator
   * @param status - the status of its answer
   */
  constructor(hostId: HostId, status: number) {
    super(`host ${hostId} answered a placement with status ${status}`);
    this.name = 'CoordinatorStatusError';
  }
}
