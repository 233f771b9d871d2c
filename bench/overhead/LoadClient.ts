import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

const CONNECTIONS = 512;
const MICROS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const TICK_MS = 1;
const PATH = '/v1/pipelines/relay/requests';

/** What one round of load gave. */
export interface LoadResult {
  readonly requestsPerSecond: number;
  readonly failedCount: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Sends requests to a server and measures them. */
export class LoadClient {
  readonly #pool: Pool;

  readonly #headers: Record<string, string>;

  #sentCount = 0;

  /**
   * @param url - base address of the server
   * @param callerKey - key of a client account
   */
  constructor(url: string, callerKey: string) {
    this.#pool = new Pool(url, { connections: CONNECTIONS, pipelining: 1 });
    this.#headers = {
      'content-type': 'application/json', authorization: `Bearer ${callerKey}`,
    };
  }

  /**
   * Keeps a number of requests running; each end starts the next one.
   *
   * @param concurrency - requests that run at once
   * @param durationMs - how long new ones start
   * @returns the throughput, and latencies under that load
   */
  async runClosed(concurrency: number, durationMs: number): Promise<LoadResult> {
    const histogram = build();
    const startMs = performance.now();
    let failedCount = 0;
    const runOne = async (): Promise<void> => {
      const sentMs = performance.now();
      if (sentMs - startMs >= durationMs) {
        return;
      }
      failedCount += await this.#send(sentMs, histogram) ? 0 : 1;
      await runOne();
    };
    await Promise.all(Array.from({ length: concurrency }, runOne));
    return LoadClient.#getResult(histogram, failedCount, performance.now() - startMs);
  }

  /**
   * Sends requests at a steady rate, whatever becomes of earlier ones. Latency counts from the time
   * when the request was due.
   *
   * @param ratePerSecond - requests in a second
   * @param durationMs - how long
   * @returns the latencies at that rate
   */
  async runOpen(ratePerSecond: number, durationMs: number): Promise<LoadResult> {
    const histogram = build();
    const startMs = performance.now();
    const intervalMs = MS_PER_SECOND / ratePerSecond;
    const sends: Promise<boolean>[] = [];
    await new Promise<void>((resolve) => {
      const timer = setInterval(() => {
        const elapsedMs = performance.now() - startMs;
        while (sends.length * intervalMs <= Math.min(elapsedMs, durationMs)) {
          sends.push(this.#send(startMs + sends.length * intervalMs, histogram));
        }
        if (elapsedMs >= durationMs) {
          clearInterval(timer);
          resolve();
        }
      }, TICK_MS);
    });
    const results = await Promise.all(sends);
    const failedCount = results.filter((isSuccess) => !isSuccess).length;
    return LoadClient.#getResult(histogram, failedCount, performance.now() - startMs);
  }

  /** Breaks the connections. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #send(dueMs: number, histogram: Histogram): Promise<boolean> {
    this.#sentCount += 1;
    // Equal inputs would all go to the one engine whose cache holds their prefix.
    const body = JSON.stringify({ input: `Which seats are free in row ${this.#sentCount}?` });
    const response = await this.#pool.request({
      method: 'POST', path: PATH, headers: this.#headers, body,
    });
    await response.body.text();
    histogram.recordValue(Math.round((performance.now() - dueMs) * MICROS_PER_MS));
    return response.statusCode === 200;
  }

  static #getResult(histogram: Histogram, failedCount: number, elapsedMs: number): LoadResult {
    return {
      requestsPerSecond: (histogram.totalCount * MS_PER_SECOND) / elapsedMs,
      failedCount,
      p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
      p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
    };
  }
}
