import { Type, type Static } from '@sinclair/typebox';

const addressSchema = Type.Object({
  /** IP address to listen on. */
  host: Type.String({ minLength: 1 }),
  /** Port to listen on; 0 selects a free port. */
  port: Type.Integer({ minimum: 0, maximum: 65535 }),
}, { additionalProperties: false });

/** Source of a secret: a file or an environment variable. The secret is never in the settings. */
export const secretSourceSchema = Type.Union([
  Type.Object({ file: Type.String({ minLength: 1 }) }, { additionalProperties: false }),
  Type.Object({ env: Type.String({ minLength: 1 }) }, { additionalProperties: false }),
  // Findings never contain the value found here: it may be the key itself, put here by mistake.
], { writeOnly: true });

const urlOptions = {
  pattern: '^https?://',
  description: 'an address such as http://127.0.0.1:2379',
};

/** The settings of one entry host. */
export const hostSettingsSchema = Type.Object({
  hostId: Type.String({ minLength: 1 }),
  failureDomainId: Type.String({ minLength: 1 }),
  /** Address of the HTTP server for callers and operators. */
  http: addressSchema,
  /** Address of the listener for peers. */
  peers: addressSchema,
  /** Base address of the platform's key-value service and host list. */
  platformUrl: Type.String(urlOptions),
  /** Key that authenticates operators. */
  operatorKey: secretSourceSchema,
  /** Key with which peers authenticate each other; optional only on loopback. */
  peerKey: Type.Optional(secretSourceSchema),
  /** Base address of an OTLP/HTTP collector; without it, spans stay in a bounded buffer. */
  traceCollectorUrl: Type.Optional(Type.String(urlOptions)),
  logLevel: Type.Optional(Type.Union([
    Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn'), Type.Literal('error'),
  ])),
}, { additionalProperties: false });

/** Source from which a secret is read. */
export type SecretSource = Static<typeof secretSourceSchema>;

/** The settings of one entry host. */
export type HostSettings = Static<typeof hostSettingsSchema>;
