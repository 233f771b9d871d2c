import { Type, type Static } from '@sinclair/typebox';

/** Schema of an upstream. */
export const upstreamRecordSchema = Type.Object({
  id: Type.String({ minLength: 1 }),
  poolId: Type.String({ minLength: 1 }),
  failureDomainId: Type.String({ minLength: 1 }),
  /** Base URL with an IP address, such as `http://127.0.0.1:9001`. */
  url: Type.String({
    pattern: '^https?://',
    description: 'an address such as http://127.0.0.1:9001',
  }),
}, { additionalProperties: false });

/** An upstream: one back end. */
export type UpstreamRecord = Static<typeof upstreamRecordSchema>;
