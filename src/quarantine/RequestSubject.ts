import { getFingerprint } from './getFingerprint.ts';

/** What a request asks, whatever its id. */
export interface RequestSubjectOptions {
  /** Null when requests carry no keys. */
  readonly account: string | null;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

/** A request as the quarantine knows it; its digest is only made when it is asked for. */
export class RequestSubject {
  readonly #options: RequestSubjectOptions;

  #fingerprint: string | null = null;

  /**
   * @param options - see {@link RequestSubjectOptions}
   */
  constructor(options: RequestSubjectOptions) {
    this.#options = options;
  }

  /** The same for a request that comes again, at any host. */
  get fingerprint(): string {
    const {
      account, method, host, path, body,
    } = this.#options;
    this.#fingerprint ??= getFingerprint([account ?? '', method, host, path], body);
    return this.#fingerprint;
  }
}
