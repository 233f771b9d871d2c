import { Type, type Static } from '@sinclair/typebox';

/** What the platform keeps of a lease. No wall time: each host counts from when it saw a write. */
export const leaseRecordSchema = Type.Object({
  hostId: Type.String(),
  incarnationId: Type.String(),
  /** Grows by one with each change of the holder. */
  epoch: Type.Integer({ minimum: 1 }),
  /** Grows by one with each renewal. */
  renewalCount: Type.Integer({ minimum: 0 }),
  ttlMs: Type.Integer({ minimum: 1 }),
  /** True when the holder gave the lease up, so that nobody has to wait. */
  isReleased: Type.Boolean(),
});

/** What the platform keeps of a lease. */
export type LeaseRecord = Static<typeof leaseRecordSchema>;
