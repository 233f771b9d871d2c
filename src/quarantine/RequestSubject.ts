import { getFingerprint } from './getFingerprint.ts';

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

/** Identifies a request to the quarantine; its digest is computed on first use. */
export class RequestSubject {
  readonly #options: RequestSubjectOptions;

  #fingerprint: string | null = null;

  /**
   * @param options - see {@link RequestSubjectOptions}
   */
  constructor(options: RequestSubjectOptions) {
    this.#options = options;
  }

  /** Ids of the parts of its prompt that other requests may share. */
  get sharedPartIds(): readonly string[] {
    return this.#options.sharedPartIds;
  }

  /** Digest of the content; the same for a retried request, at any host. */
  get fingerprint(): string {
    const {
      account, method, host, path, body,
    } = this.#options;
    this.#fingerprint ??= getFingerprint([account ?? '', method, host, path], body);
    return this.#fingerprint;
  }
}
