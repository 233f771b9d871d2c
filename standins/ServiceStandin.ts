import { RunningAttempts } from './RunningAttempts.ts';
import { StandinServer } from './StandinServer.ts';
import {
  DEFAULT_UPSTREAM_STANDIN_OPTIONS, type UpstreamStandinOptions,
} from './UpstreamStandinOptions.ts';
import { getStageOutput } from './getStandinText.ts';
import { callBodySchema, runCall, type CallBody } from './runCall.ts';

/** Options of a plain service stand-in. */
export interface ServiceStandinOptions extends UpstreamStandinOptions {
  /** Whether a repeated idempotency key gets the first answer without a second execution. */
  readonly honoursIdempotencyKey: boolean;
}

/** Stand-in for a plain service, some of whose calls may not be repeated. */
export class ServiceStandin {
  readonly server: StandinServer;

  readonly #knownKeys = new Set<string>();

  private constructor(server: StandinServer, options: ServiceStandinOptions) {
    this.server = server;
    const running = new RunningAttempts(server);
    server.fastify.post<{ Body: CallBody }>(
      '/v1/call',
      { schema: { body: callBodySchema } },
      async (request, reply) => {
        const { body } = request;
        const idempotencyKey = request.headers['idempotency-key']?.toString() ?? null;
        if (idempotencyKey !== null && options.honoursIdempotencyKey) {
          const key = `${body.accountId}/${body.stageId}/${idempotencyKey}`;
          if (this.#knownKeys.has(key)) {
            return this.#createRepeatedAnswer(body);
          }
          this.#knownKeys.add(key);
        }
        await runCall({
          server, running, body, idempotencyKey, reply,
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
  static async create(options: Partial<ServiceStandinOptions> = {}): Promise<ServiceStandin> {
    const allOptions = {
      ...DEFAULT_UPSTREAM_STANDIN_OPTIONS, honoursIdempotencyKey: false, ...options,
    };
    const server = new StandinServer(allOptions);
    const standin = new ServiceStandin(server, allOptions);
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

  #createRepeatedAnswer(body: CallBody) {
    return {
      attemptId: body.attemptId,
      incarnation: this.server.incarnation,
      output: getStageOutput(body.stageId, body.input),
      costMicros: 0,
    };
  }
}
