import { getFingerprint } from './getFingerprint.ts';

/** What a request asks, whatever its id. */
export interface SubjectParts {
  /** Null when requests carry no keys. */
  readonly account: string | null;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

/** A request as the quarantine knows it; its digest is only made when it is asked for. */
export class RequestSubject {
  readonly #parts: SubjectParts;

  #fingerprint: string | null = null;

  /**
   * @param parts - see {@link SubjectParts}
   */
  constructor(parts: SubjectParts) {
    this.#parts = parts;
  }

  /** The same for a request that comes again, at any host. */
  get fingerprint(): string {
    const {
      account, method, host, path, body,
    } = this.#parts;
    this.#fingerprint ??= getFingerprint([account ?? '', method, host, path], body);
    return this.#fingerprint;
  }
}
