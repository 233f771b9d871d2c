import { RunningAttempts } from './RunningAttempts.ts';
import { StandinServer } from './StandinServer.ts';
import {
  DEFAULT_UPSTREAM_STANDIN_OPTIONS, type UpstreamStandinOptions,
} from './UpstreamStandinOptions.ts';
import { callBodySchema, runCall, type CallBody } from './runCall.ts';

/** Stand-in for an encoder, retriever or reranker. */
export class StagePoolStandin {
  readonly server: StandinServer;

  private constructor(server: StandinServer) {
    this.server = server;
    const running = new RunningAttempts(server);
    server.fastify.post<{ Body: CallBody }>(
      '/v1/run',
      { schema: { body: callBodySchema } },
      async (request, reply) => {
        await runCall({
          server, running, body: request.body, idempotencyKey: null, reply,
        });
        return reply;
      },
    );
  }

  /**
   * Starts a stand-in.
   *
   * @param options - overrides of the defaults
   * @returns the stand-in, listening
   */
  static async create(options: Partial<UpstreamStandinOptions> = {}): Promise<StagePoolStandin> {
    const server = new StandinServer({ ...DEFAULT_UPSTREAM_STANDIN_OPTIONS, ...options });
    const standin = new StagePoolStandin(server);
    await server.listen();
    return standin;
  }

  /** Base address. */
  get url(): string {
    return this.server.url;
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    await this.server.close();
  }
}
