import type { LoadReportedInput, LoadUnavailableInput } from '../core/CoreInput.ts';
import type { UpstreamId } from '../lib/ids.ts';
import { readBoundedText } from './readBoundedText.ts';
import { UpstreamConnections } from './UpstreamConnections.ts';

const CONNECTIONS_PER_UPSTREAM = 1;

/** Options of the load reader. */
export interface LoadReaderOptions {
  /** Timeout of a read. */
  readonly timeoutMs: number;
}

/** Defaults of {@link LoadReaderOptions}; a load report that takes longer is out of date. */
export const DEFAULT_LOAD_READER_OPTIONS: LoadReaderOptions = { timeoutMs: 1000 };

interface LoadBody {
  readonly incarnation: string;
  readonly uptimeMs: number;
  readonly runningCount: number;
  readonly queuedCount: number;
}

function isLoadBody(body: unknown): body is LoadBody {
  if (typeof body !== 'object' || body === null) {
    return false;
  }
  const fields = body as Readonly<Record<string, unknown>>;
  return typeof fields.incarnation === 'string'
    && ['uptimeMs', 'runningCount', 'queuedCount']
      .every((name) => Number.isFinite(fields[name]));
}

/** Reads the load that upstreams report. */
export class LoadReader {
  readonly #timeoutMs: number;

  // Separate from the attempts' connections, so that a busy upstream can still report its load.
  readonly #connections = new UpstreamConnections({ maxConnections: CONNECTIONS_PER_UPSTREAM });

  /**
   * @param options - overrides of the defaults
   */
  constructor(options: Partial<LoadReaderOptions> = {}) {
    this.#timeoutMs = { ...DEFAULT_LOAD_READER_OPTIONS, ...options }.timeoutMs;
  }

  /**
   * Reads one report. Never rejects.
   *
   * @param upstreamId - the upstream
   * @param url - its base address
   * @returns the report, or an input that tells that the load is unavailable
   */
  async read(
    upstreamId: UpstreamId,
    url: string,
  ): Promise<LoadReportedInput | LoadUnavailableInput> {
    const body = await this.#fetch(url);
    if (!isLoadBody(body)) {
      return { kind: 'loadUnavailable', upstreamId };
    }
    return {
      kind: 'loadReported',
      upstreamId,
      upstreamIncarnation: body.incarnation,
      uptimeMs: body.uptimeMs,
      runningCount: body.runningCount,
      queuedCount: body.queuedCount,
    };
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await this.#connections.close();
  }

  async #fetch(url: string): Promise<unknown> {
    try {
      const response = await this.#connections.get(url).request({
        method: 'GET', path: '/load', signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const body: unknown = JSON.parse(await readBoundedText(response.body));
      return response.statusCode === 200 ? body : null;
    } catch {
      return null;
    }
  }
}
