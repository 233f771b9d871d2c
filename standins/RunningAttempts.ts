import type { StandinServer } from './StandinServer.ts';

/** The running attempts of a stand-in, and the route that cancels them. */
export class RunningAttempts {
  readonly #controllers = new Map<string, AbortController>();

  /**
   * @param server - server to add the route `POST /v1/cancel` to
   */
  constructor(server: StandinServer) {
    server.fastify.post<{ Body: { attemptId: string } }>('/v1/cancel', async (request) => {
      const { attemptId } = request.body;
      server.counts.addCancel(attemptId);
      const controller = this.#controllers.get(attemptId);
      controller?.abort();
      return { isCancelled: controller !== undefined };
    });
  }

  /**
   * @param attemptId - an attempt that starts
   * @returns a signal that aborts when the attempt is cancelled
   */
  add(attemptId: string): AbortSignal {
    const controller = new AbortController();
    this.#controllers.set(attemptId, controller);
    return controller.signal;
  }

  /**
   * @param attemptId - an attempt that ended
   */
  delete(attemptId: string): void {
    this.#controllers.delete(attemptId);
  }
}
