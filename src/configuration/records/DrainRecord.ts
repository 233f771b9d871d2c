import { Type, type Static } from '@sinclair/typebox';

/** What can be taken out of service. */
export const DRAIN_TARGET_KIND = {
  host: 'host',
  upstream: 'upstream',
  failureDomain: 'failureDomain',
} as const;

/** Something that operators have taken out of service. */
export const drainRecordSchema = Type.Object({
  kind: Type.Union([
    Type.Literal(DRAIN_TARGET_KIND.host),
    Type.Literal(DRAIN_TARGET_KIND.upstream),
    Type.Literal(DRAIN_TARGET_KIND.failureDomain),
  ]),
  id: Type.String({ minLength: 1 }),
}, { additionalProperties: false });

/** Something that operators have taken out of service. */
export type DrainRecord = Static<typeof drainRecordSchema>;
