import { REQUEST_KIND, type RequestKind } from './SoakRecord.ts';

/** Host name that callers send in their requests. */
export const SOAK_HOST_NAME = 'soak.example';
/** Path of the upstreams' health check. */
export const HEALTH_PATH = '/health';
/** API key of the callers. */
export const SOAK_KEY = 'soak-key';
/** Client account that the key belongs to. */
export const SOAK_ACCOUNT = 'soak-account';

/** Pools of the soak, each named after the kind of work it runs. */
export const SOAK_POOLS = {
  [REQUEST_KIND.repeatable]: REQUEST_KIND.repeatable,
  [REQUEST_KIND.once]: REQUEST_KIND.once,
  [REQUEST_KIND.stream]: REQUEST_KIND.stream,
  stage: 'stage',
} as const;

/** Path of the route that each version of the manifest sends to another pool. */
export const MOVED_ROUTE_PATH = '/moved/x';

/**
 * @param version - version of the manifest
 * @returns the API key that callers have in this version only
 */
export function getVersionKey(version: number): string {
  return `${SOAK_KEY}-${version}`;
}

/**
 * @param version - version of the manifest
 * @returns the pool of the route that moves with each version
 */
export function getMovedPool(version: number): RequestKind {
  return version % 2 === 0 ? REQUEST_KIND.once : REQUEST_KIND.repeatable;
}

function createRoute(kind: string, fields: Readonly<Record<string, unknown>>): unknown {
  return {
    name: kind,
    host: SOAK_HOST_NAME,
    prefix: `/${kind}/`,
    service: kind,
    timeout_ms: 5_000,
    target_latency_ms: 200,
    max_attempts: 2,
    ...fields,
  };
}

function createService(name: string, fields: Readonly<Record<string, unknown>> = {}): unknown {
  return {
    name, health_path: HEALTH_PATH, max_connections: 100, ...fields,
  };
}

/**
 * Creates the manifest of the soak as the operator writes it.
 *
 * @param version - version of the manifest
 * @returns the manifest
 */
export function createSoakManifest(version: number): unknown {
  return {
    version,
    routes: [
      createRoute(REQUEST_KIND.repeatable, { kind: 'safe' }),
      createRoute(REQUEST_KIND.once, { kind: 'unsafe', max_attempts: 1 }),
      createRoute('moved', { kind: 'safe', service: getMovedPool(version) }),
      createRoute(REQUEST_KIND.stream, {
        kind: 'streaming',
        target_latency_ms: 1_000,
        stream_resume: true,
        gap_target_ms: 400,
        stages: [{ service: SOAK_POOLS.stage, after: [], bytes: 1_000 }],
      }),
    ],
    services: [
      createService(REQUEST_KIND.repeatable),
      createService(REQUEST_KIND.once),
      createService(REQUEST_KIND.stream, { engine: { slots: 64, kv_capacity_tokens: 100_000 } }),
      createService(SOAK_POOLS.stage, {
        pieces: {
          slots: 4, queue: 8, batch: 10, call_ms: 30, item_ms: 1, headroom_mb: 10, handle_s: 4,
        },
      }),
    ],
    tenants: [{ name: SOAK_ACCOUNT, api_keys: [SOAK_KEY, getVersionKey(version)] }],
  };
}
