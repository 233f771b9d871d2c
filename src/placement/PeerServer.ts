import fastify, { type FastifyInstance } from 'fastify';
import { parseAddress } from '../ingress/parseAddress.ts';
import type { PlacementCoordinator } from './PlacementCoordinator.ts';
import type { PlacementReport, PlacementRequest, PlacementResult } from './PlacementRequest.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';

/** Values of the fields that earlier versions do not send. */
const LATER_FIELDS = {
  limitReports: [], openGenerations: [], account: null, kind: '',
} as const;
const STATUS_UNAVAILABLE = 503;

function refuseSchema(): never {
  throw new TypeError('The peer server compiles no schemas; check the request in its handler.');
}

/**
 * No route has a schema. Loading the compilers and compiling their own schemas would take about
 * half of the processor time of a start.
 */
const NO_SCHEMA_COMPILERS = {
  buildValidator: refuseSchema, buildSerializer: refuseSchema,
} as const;

/** Serves other hosts: this host's placement coordinator, and the routes that are added. */
export class PeerServer {
  readonly #coordinator: PlacementCoordinator;

  readonly #server: FastifyInstance;

  /**
   * @param coordinator - what decides
   */
  constructor(coordinator: PlacementCoordinator) {
    this.#coordinator = coordinator;
    this.#server = fastify({
      logger: false,
      forceCloseConnections: true,
      schemaController: { compilersFactory: NO_SCHEMA_COMPILERS },
    });
    this.#server.post(PLACEMENT_PATHS.place, async (request, reply) => {
      if (!coordinator.isReady) {
        reply.code(STATUS_UNAVAILABLE);
        return { detail: 'this host has no configuration yet; query another host' };
      }
      // A host of an earlier version sends none of these fields.
      const body = request.body as Omit<PlacementRequest, keyof typeof LATER_FIELDS>;
      const result = await this.#place({ ...LATER_FIELDS, ...body }, (withdraw) => {
        reply.raw.once('close', () => {
          if (!reply.raw.writableFinished) {
            withdraw();
          }
        });
      });
      return result;
    });
    this.#server.post(PLACEMENT_PATHS.reports, async (request, reply) => {
      (request.body as PlacementReport[]).forEach((report) => coordinator.handleReport(report));
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
   * @returns resolves once the server listens
   */
  async listen(address: string): Promise<void> {
    await this.#server.listen(parseAddress(address));
  }

  /** Closes the server and its open connections. */
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
