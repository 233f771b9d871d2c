/** Error of an exchange that was never sent because its upstream closed in the meantime. */
export class ClosedUpstreamError extends Error {
  constructor() {
    super('the upstream has closed while the call waited for a connection');
    this.name = 'ClosedUpstreamError';
  }
}
