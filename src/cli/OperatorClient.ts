import { request } from 'undici';
import { CliError } from './CliError.ts';
import { EXIT_CODE } from './EXIT_CODE.ts';

const REQUEST_TIMEOUT_MS = 20_000;
const MIN_ERROR_STATUS = 400;

/** The answer of a host to an operator's call. */
export interface OperatorReply {
  readonly statusCode: number;
  readonly body: unknown;
}

/** What the body of a problem may carry (RFC 9457). */
interface ProblemBody {
  readonly title?: string;
  readonly detail?: string;
}

function getExitCode(statusCode: number): typeof EXIT_CODE[keyof typeof EXIT_CODE] {
  switch (statusCode) {
    case 400:
    case 422:
      return EXIT_CODE.usage;
    case 409:
      return EXIT_CODE.conflict;
    case 429:
    case 502:
    case 503:
    case 504:
      return EXIT_CODE.unavailable;
    default:
      return EXIT_CODE.failed;
  }
}

/**
 * Turns a problem into the error that ends the command.
 *
 * @param reply - an answer with an error status
 * @returns the error
 */
export function createProblemError(reply: OperatorReply): CliError {
  const { title = `HTTP status ${reply.statusCode}`, detail } = reply.body as ProblemBody;
  return new CliError(
    getExitCode(reply.statusCode),
    detail === undefined ? title : `${title}: ${detail}`,
  );
}

/** Calls the operators' HTTP face of a host. */
export class OperatorClient {
  readonly #hostUrl: string;

  readonly #operatorKey: string;

  /**
   * @param hostUrl - base address of an entry host
   * @param operatorKey - the key that the host expects
   */
  constructor(hostUrl: string, operatorKey: string) {
    this.#hostUrl = hostUrl.replace(/\/+$/, '');
    this.#operatorKey = operatorKey;
  }

  /**
   * Calls and takes any answer.
   *
   * @param method - of HTTP
   * @param path - below the base address
   * @param body - sent as JSON; absent for none
   * @returns the status code and the parsed body
   * @throws CliError when the host can't be reached or does not speak JSON
   */
  async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<OperatorReply> {
    try {
      const response = await request(`${this.#hostUrl}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.#operatorKey}`,
          ...body === undefined ? {} : { 'content-type': 'application/json' },
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      return { statusCode: response.statusCode, body: await response.body.json() };
    } catch (error) {
      const reason = error instanceof Error ? error.message || error.name : String(error);
      throw new CliError(
        EXIT_CODE.unavailable,
        `${this.#hostUrl} does not answer (${reason}); check --host and that the host runs`,
      );
    }
  }

  /**
   * Calls and expects success.
   *
   * @param method - of HTTP
   * @param path - below the base address
   * @param body - sent as JSON; absent for none
   * @returns the parsed body
   * @throws CliError with the problem's title and detail
   */
  async callOk<T>(method: 'GET' | 'POST', path: string, body?: unknown): Promise<T> {
    const reply = await this.call(method, path, body);
    if (reply.statusCode >= MIN_ERROR_STATUS) {
      throw createProblemError(reply);
    }
    return reply.body as T;
  }
}
