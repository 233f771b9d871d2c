import { Type, type Static } from '@sinclair/typebox';

/** Stored state of a lease. No wall time: each host counts from when it observed a write. */
export const leaseRecordSchema = Type.Object({
  hostId: Type.String(),
  incarnationId: Type.String(),
  /** Increases by one with each change of the holder. */
  epoch: Type.Integer({ minimum: 1 }),
  /** Increases by one with each renewal. */
  renewalCount: Type.Integer({ minimum: 0 }),
  ttlMs: Type.Integer({ minimum: 1 }),
  /** True when the holder released the lease, so that no host has to wait for its expiry. */
  isReleased: Type.Boolean(),
});

/** Stored state of a lease. */
export type LeaseRecord = Static<typeof leaseRecordSchema>;
