import { ExportResultCode, type ExportResult } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';

const MAX_KEPT_SPANS = 2_048;

/** Span exporter that keeps the most recent spans in memory, without a collector and for tests. */
export class BoundedSpanExporter implements SpanExporter {
  readonly #spans: ReadableSpan[] = [];

  /** @inheritdoc */
  export(spans: ReadableSpan[], resultCallback: (result: ExportResult) => void): void {
    this.#spans.push(...spans);
    this.#spans.splice(0, Math.max(0, this.#spans.length - MAX_KEPT_SPANS));
    resultCallback({ code: ExportResultCode.SUCCESS });
  }

  /** @inheritdoc */
  async shutdown(): Promise<void> {
    this.#spans.length = 0;
  }

  /**
   * Returns the stored spans.
   *
   * @returns the spans, oldest first
   */
  getSpans(): readonly ReadableSpan[] {
    return this.#spans;
  }
}
