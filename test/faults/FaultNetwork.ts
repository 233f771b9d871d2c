import type { CallKeyValueOutput } from '../../src/core/CoreOutput.ts';
import type { KeyValueAnswer } from '../../src/platform/KeyValueCall.ts';
import { FakeKeyValueStore } from '../support/FakeKeyValueStore.ts';
import type { EventQueue } from './EventQueue.ts';

/** How the platform behaves. */
export type PlatformMode = 'up' | 'down' | 'slow' | 'loseAnswers';

/** How messages between hosts behave. */
export type MessageMode = 'inOrder' | 'repeated' | 'reordered';

interface PendingWatch {
  readonly place: string;
  readonly key: string;
  readonly afterVersion: number;
  answer(answer: KeyValueAnswer): void;
}

const PLATFORM_ONE_WAY_MS = 2;
const SLOW_ONE_WAY_MS = 300;
const LOST_AFTER_MS = 500;
const MESSAGE_ONE_WAY_MS = 1;
const REORDER_SPREAD_MS = 150;

/** What lies between hosts and the platform: delays, cuts, lost and repeated messages. */
export class FaultNetwork {
  readonly store = new FakeKeyValueStore();

  platformMode: PlatformMode = 'up';

  messageMode: MessageMode = 'inOrder';

  /** Cut directions, `FROM>TO`; places are host names, domain names and `platform`. */
  readonly cuts = new Set<string>();

  readonly #queue: EventQueue;

  readonly #getFraction: () => number;

  #watches: PendingWatch[] = [];

  /**
   * @param queue - schedules what arrives later
   * @param getFraction - seeded randomness in [0, 1)
   */
  constructor(queue: EventQueue, getFraction: () => number) {
    this.#queue = queue;
    this.#getFraction = getFraction;
  }

  /**
   * @param from - a place
   * @param to - another place
   * @returns whether nothing passes in this direction
   */
  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /**
   * Makes a platform call.
   *
   * @param place - the calling host
   * @param output - the call
   * @param answer - gets the answer
   */
  call(
    place: string,
    output: CallKeyValueOutput,
    answer: (given: KeyValueAnswer) => void,
  ): void {
    const oneWayMs = this.platformMode === 'slow' ? SLOW_ONE_WAY_MS : PLATFORM_ONE_WAY_MS;
    if (this.platformMode === 'down' || this.isCut(place, 'platform')) {
      this.#queue.schedule(oneWayMs, () => answer({ kind: 'unavailable', detail: 'cut or down' }));
      return;
    }
    this.#queue.schedule(oneWayMs, () => this.#execute(place, output, (given) => {
      const isLost = this.platformMode === 'loseAnswers' || this.isCut('platform', place);
      const delayMs = isLost ? LOST_AFTER_MS : oneWayMs;
      this.#queue.schedule(delayMs, () => (
        answer(isLost ? { kind: 'unknown', detail: 'lost' } : given)
      ));
    }));
  }

  /**
   * Delivers a message between hosts.
   *
   * @param from - the sender
   * @param to - the receiver
   * @param deliver - hands it over; may be called twice
   * @param fail - called when the sender learns at once that it can't be sent
   */
  send(from: string, to: string, deliver: () => void, fail: () => void): void {
    if (this.isCut(from, to)) {
      this.#queue.schedule(0, fail);
      return;
    }
    const extraMs = this.messageMode === 'reordered'
      ? Math.floor(this.#getFraction() * REORDER_SPREAD_MS) : 0;
    this.#queue.schedule(MESSAGE_ONE_WAY_MS + extraMs, deliver);
    if (this.messageMode === 'repeated') {
      this.#queue.schedule(MESSAGE_ONE_WAY_MS + REORDER_SPREAD_MS, deliver);
    }
  }

  #execute(
    place: string,
    { call }: CallKeyValueOutput,
    answer: (given: KeyValueAnswer) => void,
  ): void {
    const given = this.store.execute(call);
    const version = given.kind === 'value' ? given.version : 0;
    if (call.kind === 'watch' && version <= call.afterVersion) {
      const watch = {
        place, key: call.key, afterVersion: call.afterVersion, answer,
      };
      this.#watches.push(watch);
      this.#queue.schedule(call.waitMs, () => this.#answerWatch(watch));
      return;
    }
    answer(given);
    if (given.kind === 'swapped') {
      this.#watches.filter(({ key }) => key === call.key)
        .forEach((watch) => this.#answerWatch(watch));
    }
  }

  #answerWatch(watch: PendingWatch): void {
    if (this.#watches.includes(watch)) {
      this.#watches = this.#watches.filter((other) => other !== watch);
      watch.answer(this.store.execute({ kind: 'get', key: watch.key }));
    }
  }
}
