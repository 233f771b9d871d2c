import { Type, type Static } from '@sinclair/typebox';

/** One back end. */
export const upstreamRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  poolId: Type.String({ minLength: 1 }),
  failureDomainId: Type.String({ minLength: 1 }),
  /** Base address, by IP number, such as `http://127.0.0.1:9001`. */
  url: Type.String({
    pattern: '^https?://',
    description: 'an address such as http://127.0.0.1:9001',
  }),
}, { additionalProperties: false });

/** One back end. */
export type UpstreamRecord = Static<typeof upstreamRecordSchema>;
