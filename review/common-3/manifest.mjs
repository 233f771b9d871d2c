/** Limits of the site msa-seatdesk, as `fleetbench wire` prints them. */
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

export const HOST_NAME = 'seats.example';
export const API_KEY = 'review-key';
export const TENANT = 'shul';

/** A route of the first kind of stream of the site, without stages unless `fields` has some. */
export function createStreamRoute(fields) {
  return {
    host: HOST_NAME,
    kind: 'streaming',
    timeout_ms: 6_000,
    target_latency_ms: 2_500,
    gap_target_ms: 400,
    priority: 1,
    max_attempts: 2,
    no_auth: false,
    session_affinity: true,
    stream_resume: true,
    stages: [],
    ...fields,
  };
}

/** The service of model engines of the site. */
export function createEngineService(fields) {
  return {
    health_path: '/health',
    max_connections: 370,
    protocol: 'h1',
    tls: false,
    cold_start_s: 3,
    cold_per_s: 11,
    engine: {
      slots: 64,
      kv_capacity_tokens: 326_199,
      kv_token_bytes: 327_680,
      link_mbps: 740_000,
      moves: true,
      backups: true,
      stride: 4,
      most: 12,
      pin_ms: 4_000,
      hold_ms: 2_000,
      handle_s: 5,
      models: [{ name: 'm' }],
    },
    ...fields,
  };
}

/** A service of the site that runs pieces of a stage. */
export function createStageService(fields) {
  return {
    health_path: '/health',
    max_connections: 370,
    protocol: 'h1',
    tls: false,
    cold_start_s: 0,
    cold_per_s: 0,
    pieces: {
      slots: 1,
      queue: 2,
      batch: 9,
      call_ms: 200,
      item_ms: 18.9,
      headroom_mb: 19.8,
      handle_s: 4,
      link_mbps: 10_000,
    },
    ...fields,
  };
}

export function createManifest(routes, services) {
  return {
    version: 7,
    routes,
    services,
    limits: LIMITS,
    tenants: [{ name: TENANT, api_keys: [API_KEY], priority: 1 }],
  };
}

/** Headers of a client's generation. */
export function createStreamHeaders(requestId, fields = {}) {
  return {
    Host: HOST_NAME,
    Authorization: `Bearer ${API_KEY}`,
    'X-Request-Id': requestId,
    'X-Deadline-Ms': '6000',
    'X-Model': 'm',
    'X-Token-Usage': '2368,24',
    'X-Prompt-Prefix': `5c1e07a2:568,${requestId.slice(0, 8)}:1800`,
    ...fields,
  };
}

/** A route of requests that may run once, as `seat-confirm` of the site. */
export function createServiceRoute(fields) {
  return {
    host: HOST_NAME,
    kind: 'unsafe',
    timeout_ms: 1_500,
    target_latency_ms: 193,
    priority: 2,
    max_attempts: 1,
    no_auth: false,
    ...fields,
  };
}
