import fastify, { type FastifyInstance } from 'fastify';
import { parseAddress } from '../ingress/parseAddress.ts';
import type { PlacementCoordinator } from './PlacementCoordinator.ts';
import type { PlacementReport, PlacementRequest, PlacementResult } from './PlacementRequest.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';

const STATUS_UNAVAILABLE = 503;

/** Serves the other entry hosts: lets them use this host's placement desk, and what is added. */
export class PeerServer {
  readonly #coordinator: PlacementCoordinator;

  readonly #server: FastifyInstance;

  /**
   * @param coordinator - what decides
   */
  constructor(coordinator: PlacementCoordinator) {
    this.#coordinator = coordinator;
    this.#server = fastify({ logger: false, forceCloseConnections: true });
    this.#server.post(PLACEMENT_PATHS.place, async (request, reply) => {
      if (!coordinator.isReady) {
        reply.code(STATUS_UNAVAILABLE);
        return { detail: 'no configuration is known here yet' };
      }
      // A host of an earlier version says nothing of limits.
      const body = request.body as Omit<PlacementRequest, 'limitReports'>;
      const result = await this.#place({ limitReports: [], ...body }, (withdraw) => {
        reply.raw.once('close', () => {
          if (!reply.raw.writableFinished) {
            withdraw();
          }
        });
      });
      return result;
    });
    this.#server.post(PLACEMENT_PATHS.reports, async (request, reply) => {
      (request.body as PlacementReport[]).forEach((note) => coordinator.handleReport(note));
      reply.code(204);
    });
    this.#server.get(PLACEMENT_PATHS.alive, async (_request, reply) => {
      reply.code(204);
    });
  }

  /** @param register - adds routes, before the server listens */
  addRoutes(register: (server: FastifyInstance) => void): void {
    register(this.#server);
  }

  /**
   * @param address - IP address and port for peers
   * @returns when it listens
   */
  async listen(address: string): Promise<void> {
    await this.#server.listen(parseAddress(address));
  }

  /** Breaks off what is left. */
  async close(): Promise<void> {
    await this.#server.close();
  }

  #place(
    request: PlacementRequest,
    onWithdrawable: (withdraw: () => void) => void,
  ): Promise<PlacementResult> {
    return new Promise((resolve) => {
      onWithdrawable(this.#coordinator.place(request, resolve));
    });
  }
}
