import { Type, type Static } from '@sinclair/typebox';

/** Kinds of targets that operators can drain (take out of service). */
export const DRAIN_TARGET_KIND = {
  host: 'host',
  upstream: 'upstream',
  failureDomain: 'failureDomain',
} as const;

/** Schema of a target that operators have drained. */
export const drainRecordSchema = Type.Object({
  kind: Type.Union([
    Type.Literal(DRAIN_TARGET_KIND.host),
    Type.Literal(DRAIN_TARGET_KIND.upstream),
    Type.Literal(DRAIN_TARGET_KIND.failureDomain),
  ]),
  id: Type.String({ minLength: 1 }),
}, { additionalProperties: false });

/** A target that operators have drained. */
export type DrainRecord = Static<typeof drainRecordSchema>;
