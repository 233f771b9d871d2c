import type { CallerRequest } from '../../src/ingress/CallerRequest.ts';

/**
 * @param requestId - id of the request
 * @returns a request without a body, as its caller sent it
 */
export function createCallerRequest(requestId: string): CallerRequest {
  return {
    profile: {
      id: requestId,
      remainingMs: 1_000,
      callerKey: null,
      generation: null,
      pieceCounts: [],
      pieceKey: null,
      lastEventId: null,
      resumedRequestId: null,
    },
    method: 'GET',
    path: '/a/b',
    host: 'a.example',
    rawHeaders: ['Host', 'a.example', 'X-Request-Id', requestId],
    body: Buffer.alloc(0),
    arrivedAtMs: 0,
  };
}
