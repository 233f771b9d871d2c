import type { Dispatcher } from 'undici';
import type { CallerRequest } from '../ingress/CallerRequest.ts';
import type { AnswerHead, UpstreamProtocol } from './UpstreamProtocol.ts';

/** Result of passing a request on to another host. */
export type PeerExchangeEnd =
  /** The whole answer has arrived. */
  | { readonly kind: 'complete' }
  /** The host has not taken the request. */
  | { readonly kind: 'notTaken'; readonly detail: string }
  /** The request may have run, but no complete answer arrived. */
  | { readonly kind: 'broken'; readonly detail: string };

/** Receives the answer of the other host. */
export interface PeerAnswerReceiver {
  /** @param head - the head of the answer */
  onHead(head: AnswerHead): void;
  /** @param chunk - bytes of the body */
  onData(chunk: Buffer): void;
  /** @param end - the result; called once, after all other methods */
  onEnd(end: PeerExchangeEnd): void;
}

/** Status by which a host declines a request, since it reaches no upstream either. */
export const NOT_TAKEN_STATUS = 421;
const LOWEST_FINAL_STATUS = 200;

/** One exchange with another host that serves a request for this one. */
export class PeerExchange implements Dispatcher.DispatchHandler {
  readonly #protocol: UpstreamProtocol;

  readonly #receiver: PeerAnswerReceiver;

  #controller: Dispatcher.DispatchController | null = null;

  #isSent = false;

  #isDeclined = false;

  #hasEnded = false;

  /**
   * @param protocol - decodes the answer
   * @param receiver - receives it
   */
  constructor(protocol: UpstreamProtocol, receiver: PeerAnswerReceiver) {
    this.#protocol = protocol;
    this.#receiver = receiver;
  }

  /**
   * Sends the request.
   *
   * @param connections - connections to the other host
   * @param request - the caller's request
   * @param remainingMs - time left until its deadline
   */
  send(connections: Dispatcher, request: CallerRequest, remainingMs: number): void {
    connections.dispatch({
      path: request.path,
      method: request.method,
      headers: this.#protocol.encodeForwarded(request, remainingMs),
      body: request.body.length > 0 ? request.body : null,
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
    this.#isDeclined = status === NOT_TAKEN_STATUS;
    if (!this.#isDeclined) {
      const rawHeaders = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
      const texts = rawHeaders.map((text) => text.toString('latin1'));
      this.#receiver.onHead(this.#protocol.decodeAnswerHead(status, texts));
    }
  }

  /** @inheritdoc */
  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#hasEnded && !this.#isDeclined) {
      this.#receiver.onData(chunk);
    }
  }

  /** @inheritdoc */
  onResponseEnd(): void {
    this.#end(this.#isDeclined
      ? { kind: 'notTaken', detail: 'it reaches no upstream either' }
      : { kind: 'complete' });
  }

  /** @inheritdoc */
  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#endWithoutAnswer(error.message);
  }

  #endWithoutAnswer(detail: string): void {
    this.#end(this.#isSent && !this.#isDeclined
      ? { kind: 'broken', detail }
      : { kind: 'notTaken', detail });
  }

  #end(end: PeerExchangeEnd): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#receiver.onEnd(end);
    }
  }
}
