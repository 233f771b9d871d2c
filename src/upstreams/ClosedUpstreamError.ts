/** An exchange of which nothing was sent, since its upstream has closed meanwhile. */
export class ClosedUpstreamError extends Error {
  constructor() {
    super('the upstream has closed while the call waited for a connection');
    this.name = 'ClosedUpstreamError';
  }
}
