import type { Brand } from '../lib/Brand.ts';

/** Id of something that crashes of upstreams may be blamed on; the same at all hosts. */
export type SuspectId = Brand<string, 'SuspectId'>;
