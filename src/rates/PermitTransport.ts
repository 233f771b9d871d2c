import type { KnownHost } from '../directory/HostEntry.ts';
import type { PermitResponse, PermitRequest } from './PermitMessage.ts';

/** Carries permit requests to limit coordinators. */
export interface PermitTransport {
  /**
   * @param coordinator - the coordinator's host
   * @param request - the upstreams and the limit reports
   * @returns the response; rejects when none arrives
   */
  requestPermit(coordinator: KnownHost, request: PermitRequest): Promise<PermitResponse>;
}
