import {
  context, ROOT_CONTEXT, SpanKind, SpanStatusCode, trace,
  type Context, type Span, type Tracer,
} from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import {
  BasicTracerProvider, BatchSpanProcessor, type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import { BoundedSpanExporter } from './BoundedSpanExporter.ts';

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const EXPORT_PERIOD_MS = 1_000;
const MAX_QUEUED_SPANS = 4_096;
const HEX_RADIX = 16;

/** Attributes of a span: ids only, never inputs or keys. */
export type SpanAttributes = Readonly<Record<string, string | number>>;

/** A span that has started and not ended. */
export interface ActiveSpan {
  /** W3C trace context to propagate to the next hop. */
  readonly traceparent: string;
  /**
   * Ends the span.
   *
   * @param error - message of the failure; null on success
   */
  end(error: string | null): void;
}

function getParentContext(traceparent: string): Context {
  const match = TRACEPARENT.exec(traceparent);
  if (match === null) {
    return ROOT_CONTEXT;
  }
  const [, traceId = '', spanId = '', flags = '01'] = match;
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId, spanId, traceFlags: parseInt(flags, HEX_RADIX), isRemote: true,
  });
}

function getTraceparent(span: Span): string {
  const { traceId, spanId, traceFlags } = span.spanContext();
  return `00-${traceId}-${spanId}-${traceFlags.toString(HEX_RADIX).padStart(2, '0')}`;
}

/** Creates the spans of this process and exports them to a collector or to a bounded buffer. */
export class Tracing {
  readonly #provider: BasicTracerProvider;

  readonly #tracer: Tracer;

  /**
   * @param hostId - value of the resource attribute `host.name`
   * @param collectorUrl - OTLP/HTTP base address; null keeps the most recent spans in memory
   */
  constructor(hostId: string, collectorUrl: string | null) {
    const exporter: SpanExporter = collectorUrl === null
      ? new BoundedSpanExporter()
      : new OTLPTraceExporter({ url: `${collectorUrl}/v1/traces` });
    this.#provider = new BasicTracerProvider({
      resource: resourceFromAttributes({ 'service.name': 'parsleylift', 'host.name': hostId }),
      spanProcessors: [new BatchSpanProcessor(exporter, {
        scheduledDelayMillis: EXPORT_PERIOD_MS, maxQueueSize: MAX_QUEUED_SPANS,
      })],
    });
    this.#tracer = this.#provider.getTracer('parsleylift');
  }

  /**
   * Starts a span.
   *
   * @param name - name of the operation
   * @param kind - `server` for a received request, `client` for a sent one
   * @param traceparent - W3C trace context of the parent; any other text starts a new trace
   * @param attributes - ids of the objects that the span concerns
   * @returns the span
   */
  startSpan(
    name: string,
    kind: 'server' | 'client',
    traceparent: string,
    attributes: SpanAttributes,
  ): ActiveSpan {
    const span = this.#tracer.startSpan(
      name,
      { kind: kind === 'server' ? SpanKind.SERVER : SpanKind.CLIENT, attributes },
      getParentContext(traceparent),
    );
    return {
      traceparent: getTraceparent(span),
      end: (error) => {
        if (error !== null) {
          span.setStatus({ code: SpanStatusCode.ERROR, message: error });
        }
        span.end();
      },
    };
  }

  /** Exports the queued spans and stops. */
  async close(): Promise<void> {
    context.disable();
    await this.#provider.shutdown();
  }
}
