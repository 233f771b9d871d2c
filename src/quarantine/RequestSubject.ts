import { getFingerprint } from './getFingerprint.ts';
import { getSuspectId } from './getSuspectId.ts';
import type { SuspectId } from './SuspectId.ts';

/** Content of a request, without its id. */
export interface RequestSubjectOptions {
  /** Null when requests carry no API keys. */
  readonly account: string | null;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
  /** Ids of the prompt's parts that other requests may share: all but the last; empty for none. */
  readonly sharedPartIds: readonly string[];
}

/** Parts of one prompt that are blamed for crashes; a prompt usually has fewer. */
const MAX_PARTS = 64;

/** Identifies a request to the quarantine; the ids are computed on first use. */
export class RequestSubject {
  readonly #options: RequestSubjectOptions;

  #requestId: SuspectId | null = null;

  #partIds: readonly SuspectId[] | null = null;

  /**
   * @param options - see {@link RequestSubjectOptions}
   */
  constructor(options: RequestSubjectOptions) {
    this.#options = options;
  }

  /** Digest of the content; the same for a retried request, at any host. */
  get requestId(): SuspectId {
    const {
      account, method, host, path, body,
    } = this.#options;
    this.#requestId ??= getSuspectId({
      kind: 'request', fingerprint: getFingerprint([account ?? '', method, host, path], body),
    });
    return this.#requestId;
  }

  /** Parts of its prompt that other requests may share. */
  get partIds(): readonly SuspectId[] {
    this.#partIds ??= [...new Set(this.#options.sharedPartIds)]
      .slice(0, MAX_PARTS)
      .map((partId) => getSuspectId({ kind: 'promptPart', partId }));
    return this.#partIds;
  }

  /** All that crashes of its upstreams may be blamed on. */
  get suspectIds(): readonly SuspectId[] {
    return [this.requestId, ...this.partIds];
  }
}
