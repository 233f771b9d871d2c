import type { Brand } from './Brand.ts';

/** Id of an entry host, set in its settings. */
export type HostId = Brand<string, 'HostId'>;

/** Id of one run of an entry host process; a new random value at each start. */
export type IncarnationId = Brand<string, 'IncarnationId'>;

/** Id of a caller's request. */
export type RequestId = Brand<string, 'RequestId'>;

/** Id of an attempt: one send of a stage to an upstream; unguessable. */
export type AttemptId = Brand<string, 'AttemptId'>;

/** Id of an upstream: a model engine, or a member of a stage pool or of a plain service. */
export type UpstreamId = Brand<string, 'UpstreamId'>;

/** Id of a pool: a group of interchangeable upstreams. */
export type PoolId = Brand<string, 'PoolId'>;

/** Id of a failure domain: a zone with its own entry hosts and upstreams. */
export type FailureDomainId = Brand<string, 'FailureDomainId'>;

/** Id of a client account, which is billed for its requests. */
export type AccountId = Brand<string, 'AccountId'>;

/** Id of a pipeline: a configured sequence of stages. */
export type PipelineId = Brand<string, 'PipelineId'>;

/** Id of a stage, unique within its pipeline. */
export type StageId = Brand<string, 'StageId'>;

/** Key with which a caller makes a request idempotent. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;

/** Id of a call to the platform; a read-back finds a write again when its answer is lost. */
export type OperationId = Brand<string, 'OperationId'>;

/** Id of a plan: a proposed change of the configuration. */
export type PlanId = Brand<string, 'PlanId'>;

/**
 * Brands a plain string as an id.
 *
 * @param value - the text of the id
 * @returns the same text, typed as the requested id
 */
export function toId<Id extends Brand<string, string>>(value: string): Id {
  return value as Id;
}
