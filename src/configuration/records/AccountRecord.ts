import { Type, type Static } from '@sinclair/typebox';

/** A client account. */
export const accountRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  /** Weight of this account's share of a contended pool, relative to the other accounts. */
  weight: Type.Number({ exclusiveMinimum: 0 }),
  /** Maximum cost of one request, in millionths of the billing currency; 0 for no ceiling. */
  requestCostCeilingMicros: Type.Integer({ minimum: 0 }),
  /** Hexadecimal SHA-256 digest of the caller's key; the key itself is never stored. */
  keySha256: Type.String({
    pattern: '^[0-9a-f]{64}$',
    description: 'the 64 lower-case hexadecimal digits of `printf %s "$KEY" | sha256sum`',
    // Findings never show this value: an operator may have entered the key itself by mistake.
    writeOnly: true,
  }),
  /** Ids of the pipelines that the account may call. */
  pipelineIds: Type.Array(Type.String({ minLength: 1 })),
}, { additionalProperties: false });

/** A client account. */
export type AccountRecord = Static<typeof accountRecordSchema>;
