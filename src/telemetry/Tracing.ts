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

/** Attributes of a span; ids only, never inputs or keys. */
export type SpanAttributes = Readonly<Record<string, string | number>>;

/** One hop of a request that is under way. */
export interface ActiveSpan {
  /** W3C trace context to hand to the next hop. */
  readonly traceparent: string;
  /**
   * @param error - what went wrong; null when the hop succeeded
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

/** Spans of this process: sent to a collector, or kept in a bounded buffer without one. */
export class Tracing {
  readonly #provider: BasicTracerProvider;

  readonly #tracer: Tracer;

  /**
   * @param hostId - names the process in each span
   * @param collectorUrl - OTLP/HTTP base address; null keeps the last spans in memory
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
   * Starts the span of one hop.
   *
   * @param name - what the hop does
   * @param kind - `server` for what arrived here, `client` for what is sent on
   * @param traceparent - the hop before; anything else than W3C trace context starts a trace
   * @param attributes - ids that the span carries
   * @returns the hop
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

  /** Sends what is queued and stops. */
  async close(): Promise<void> {
    context.disable();
    await this.#provider.shutdown();
  }
}
