import type { Brand } from './Brand.ts';

/** An entry host, named in its settings. */
export type HostId = Brand<string, 'HostId'>;

/** One start of an entry host process; a new random value at each start. */
export type IncarnationId = Brand<string, 'IncarnationId'>;

/** One request of a caller. */
export type RequestId = Brand<string, 'RequestId'>;

/** One send of one stage to one upstream; unguessable. */
export type AttemptId = Brand<string, 'AttemptId'>;

/** A back end: a model engine, a member of a stage pool or of a plain service. */
export type UpstreamId = Brand<string, 'UpstreamId'>;

/** A group of interchangeable upstreams. */
export type PoolId = Brand<string, 'PoolId'>;

/** A zone with its own entry hosts and upstreams. */
export type FailureDomainId = Brand<string, 'FailureDomainId'>;

/** A customer who is billed for its requests. */
export type AccountId = Brand<string, 'AccountId'>;

/** A declared sequence of stages. */
export type PipelineId = Brand<string, 'PipelineId'>;

/** A stage within its pipeline. */
export type StageId = Brand<string, 'StageId'>;

/** The key with which a caller makes a request idempotent. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;

/** One write operation towards the platform; found again by read-back when its answer is lost. */
export type OperationId = Brand<string, 'OperationId'>;

/** A proposed change of the configuration. */
export type PlanId = Brand<string, 'PlanId'>;

/**
 * Brands a plain string as an id.
 *
 * @param value - the text of the id
 * @returns the same text under the type the caller asks for
 */
export function toId<Id extends Brand<string, string>>(value: string): Id {
  return value as Id;
}
