import type { SuspectId } from './SuspectId.ts';

/** The one send of a held request; its outcome decides for all requests with these suspects. */
export interface Trial {
  readonly suspectIds: readonly SuspectId[];
}
