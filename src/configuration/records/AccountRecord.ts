import { Type, type Static } from '@sinclair/typebox';

/** A client account. */
export const accountRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  /** Share of a contended pool, relative to the other accounts. */
  weight: Type.Number({ exclusiveMinimum: 0 }),
  /** Most that one request may cost, in millionths of the billing currency; 0 for no ceiling. */
  requestCostCeilingMicros: Type.Integer({ minimum: 0 }),
  /** SHA-256 of the caller key, hexadecimal; the key itself is never stored. */
  keySha256: Type.String({
    pattern: '^[0-9a-f]{64}$',
    description: 'the 64 lower-case hexadecimal digits of `printf %s "$KEY" | sha256sum`',
    // Findings never repeat what stands here: it may be the key itself, put here by mistake.
    writeOnly: true,
  }),
  /** Pipelines that the account may call. */
  pipelineIds: Type.Array(Type.String({ minLength: 1 })),
}, { additionalProperties: false });

/** A client account. */
export type AccountRecord = Static<typeof accountRecordSchema>;
