import type { Dispatcher } from 'undici';
import type { CallerRequest } from '../ingress/CallerRequest.ts';
import { HIGHEST_STATUS } from '../upstreams/HIGHEST_STATUS.ts';
import { Upload } from '../upstreams/Upload.ts';
import type { ForwardingOrigin } from './ForwardingOrigin.ts';
import { isFramed } from './isFramed.ts';
import { REFUSALS } from './REFUSALS.ts';
import type { AnswerHead, UpstreamProtocol } from './UpstreamProtocol.ts';

/** Result of passing a request on to another host. */
export type PeerExchangeEnd =
  /** The whole answer has arrived; without a mark, its upstream may have ended it early. */
  | { readonly kind: 'complete'; readonly isEndMarked: boolean }
  /** The host has not taken the request. */
  | { readonly kind: 'notTaken'; readonly detail: string }
  /** The request may have run, but no complete answer arrived. */
  | { readonly kind: 'broken'; readonly detail: string };

/** Options of a {@link PeerExchange}. */
export interface PeerExchangeOptions {
  /** Connections to the other host. */
  readonly connections: Dispatcher;
  /** Encodes the request and decodes the answer. */
  readonly protocol: UpstreamProtocol;
  readonly receiver: PeerAnswerReceiver;
  /**
   * Whether the host decides only by a configuration that is no older than that of this host; one
   * of an earlier build does not compare.
   */
  readonly comparesConfigurations: boolean;
  /** @returns whether the other host accepts connections */
  readonly probe: () => Promise<boolean>;
}

/** Receives the answer of the other host. */
export interface PeerAnswerReceiver {
  /**
   * @param configurationVersion - version that the other host has, also when it declined; not
   * called when it does not tell
   */
  onDecided(configurationVersion: number): void;
  /**
   * @param head - the head of the answer
   * @param marksEnd - whether it tells where the body ends
   */
  onHead(head: AnswerHead, marksEnd: boolean): void;
  /** @param chunk - bytes of the body */
  onData(chunk: Buffer): void;
  /** @param end - the result; called once, after all other methods */
  onEnd(end: PeerExchangeEnd): void;
}

/** Status by which a host declines a request that was passed on to it. */
export const NOT_TAKEN_STATUS = 421;
const CONFIGURATION_REFUSALS: ReadonlySet<number> = new Set(
  Object.values(REFUSALS).map(({ status }) => status),
);
const LOWEST_FINAL_STATUS = 200;

/** One exchange with another host that serves a request for this one. */
export class PeerExchange implements Dispatcher.DispatchHandler {
  readonly #options: PeerExchangeOptions;

  #controller: Dispatcher.DispatchController | null = null;

  #isSent = false;

  #isDeclined = false;

  /** Whether the head of the answer tells where its body ends. */
  #isFramed = false;

  #hasEnded = false;

  /**
   * @param options - see {@link PeerExchangeOptions}
   */
  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /**
   * Sends the request.
   *
   * @param request - the caller's request
   * @param remainingMs - time left until its deadline
   * @param origin - this host
   */
  send(request: CallerRequest, remainingMs: number, origin: ForwardingOrigin): void {
    const { connections, protocol } = this.#options;
    const upload = new Upload(request.body);
    connections.dispatch({
      path: request.path,
      method: request.method,
      headers: [...protocol.encodeForwarded(request, remainingMs, origin), ...upload.headers],
      body: upload.body,
      idempotent: false,
    }, this);
  }

  /** Closes the exchange, by which the other host learns that the caller has gone. */
  abort(reason: string): void {
    this.#controller?.abort(new Error(reason));
    this.#endWithoutAnswer(reason);
  }

  /** Stops reading the answer until `resume`. */
  pause(): void {
    this.#controller?.pause();
  }

  /** Continues reading the answer. */
  resume(): void {
    this.#controller?.resume();
  }

  /** @inheritdoc */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#hasEnded || this.#isSent) {
      controller.abort(new Error('the exchange has ended'));
      return;
    }
    this.#isSent = true;
  }

  /** @inheritdoc */
  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < LOWEST_FINAL_STATUS || this.#hasEnded) {
      return;
    }
    if (status > HIGHEST_STATUS) {
      this.abort(`the status ${status} is not one of HTTP`);
      return;
    }
    const rawHeaders = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
    const texts = rawHeaders.map((text) => text.toString('latin1'));
    const { protocol, receiver } = this.#options;
    const decidedVersion = protocol.decodeDecidedVersion(texts);
    const head = protocol.decodeAnswerHead(status, texts);
    this.#isDeclined = status === NOT_TAKEN_STATUS || this.#isUndecided(head, decidedVersion);
    if (decidedVersion !== null) {
      receiver.onDecided(decidedVersion);
    }
    if (!this.#isDeclined) {
      this.#isFramed = isFramed(texts);
      receiver.onHead(head, this.#isFramed);
    }
  }

  /** @inheritdoc */
  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#hasEnded && !this.#isDeclined) {
      this.#options.receiver.onData(chunk);
    }
  }

  /** @inheritdoc */
  onResponseEnd(): void {
    if (this.#isDeclined) {
      this.#end({ kind: 'notTaken', detail: 'it declined' });
    } else if (this.#isFramed) {
      this.#end({ kind: 'complete', isEndMarked: true });
    } else {
      this.#endUnframed();
    }
  }

  /** @inheritdoc */
  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#endWithoutAnswer(error.message);
  }

  /**
   * Whether the other host refused the request, which has not run then, by less than this host
   * knows: before it compared configurations, or, if it does not compare them, by its own.
   */
  #isUndecided({ status, isSigned }: AnswerHead, decidedVersion: number | null): boolean {
    return this.#options.comparesConfigurations
      ? decidedVersion === null
      : !isSigned && CONFIGURATION_REFUSALS.has(status);
  }

  /**
   * Ends an answer whose end was not marked, as hosts of an earlier build send them. Its
   * connection closes in order at its end, but also when the host is killed. A host that still
   * accepts connections has closed it at the end: a killed one takes longer to start again.
   */
  #endUnframed(): void {
    this.#options.probe().then(
      (isRunning) => this.#end(isRunning
        ? { kind: 'complete', isEndMarked: false }
        : { kind: 'broken', detail: 'the host ended, and the answer marks no end' }),
      (error: unknown) => this.#end({ kind: 'broken', detail: String(error) }),
    );
  }

  #endWithoutAnswer(detail: string): void {
    this.#end(this.#isSent && !this.#isDeclined
      ? { kind: 'broken', detail }
      : { kind: 'notTaken', detail });
  }

  #end(end: PeerExchangeEnd): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#options.receiver.onEnd(end);
    }
  }
}
