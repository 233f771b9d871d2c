import { Type, type Static } from '@sinclair/typebox';

const addressSchema = Type.Object({
  /** IP number to listen at. */
  host: Type.String({ minLength: 1 }),
  /** 0 takes a free port. */
  port: Type.Integer({ minimum: 0, maximum: 65535 }),
}, { additionalProperties: false });

/** A secret, read from a file or from an environment variable; never written in the settings. */
export const secretSourceSchema = Type.Union([
  Type.Object({ file: Type.String({ minLength: 1 }) }, { additionalProperties: false }),
  Type.Object({ env: Type.String({ minLength: 1 }) }, { additionalProperties: false }),
  // Findings never repeat what stands here: it may be the key itself, put here by mistake.
], { writeOnly: true });

const urlOptions = {
  pattern: '^https?://',
  description: 'an address such as http://127.0.0.1:2379',
};

/** The settings of one entry host. */
export const hostSettingsSchema = Type.Object({
  hostId: Type.String({ minLength: 1 }),
  failureDomainId: Type.String({ minLength: 1 }),
  /** Where callers and operators reach the host by HTTP. */
  http: addressSchema,
  /** Where peers reach the host. */
  peers: addressSchema,
  /** Base address of the platform's key-value service and host list. */
  platformUrl: Type.String(urlOptions),
  /** Key that operators show. */
  operatorKey: secretSourceSchema,
  /** Key that peers prove to each other; absent only on loopback. */
  peerKey: Type.Optional(secretSourceSchema),
  /** Base address of an OTLP/HTTP collector; absent for a bounded buffer. */
  traceCollectorUrl: Type.Optional(Type.String(urlOptions)),
  logLevel: Type.Optional(Type.Union([
    Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn'), Type.Literal('error'),
  ])),
}, { additionalProperties: false });

/** Where a secret is read from. */
export type SecretSource = Static<typeof secretSourceSchema>;

/** The settings of one entry host. */
export type HostSettings = Static<typeof hostSettingsSchema>;
