import { strict as assert } from 'node:assert';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { RequestId } from '../lib/ids.ts';
import { ClaimTestBed, type DeliveryOutcome } from '../../test/support/ClaimTestBed.ts';

const HOST_COUNT = 3;
const KEY_COUNT = 3;
const RUNS = 60;
const MAX_ACTIONS = 80;
const SETTLE_MS = 6000;
const ANSWER: RequestAnswer = {
  kind: 'completed', output: 'out', digest: 'd', costMicros: 1, stages: [],
};

type Action =
  | { readonly kind: 'request'; readonly host: number; readonly key: number }
  | { readonly kind: 'meet'; readonly index: number; readonly fate: DeliveryOutcome }
  | { readonly kind: 'advance'; readonly durationMs: number; readonly paused: number }
  | { readonly kind: 'finish'; readonly host: number; readonly isRun: boolean }
  | { readonly kind: 'own'; readonly owner: number | null; readonly host: number };

const hostArbitrary = fc.nat({ max: HOST_COUNT - 1 });
const FATES: readonly DeliveryOutcome[] = [
  'deliver', 'deliver', 'loseAnswer', 'delayEffect', 'refuse', 'drop', 'duplicate',
];
const fateArbitrary = fc.constantFrom(...FATES);
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      host: hostArbitrary,
      key: fc.nat({ max: KEY_COUNT - 1 }),
    }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant('meet' as const), index: fc.nat({ max: 20 }), fate: fateArbitrary,
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      durationMs: fc.constantFrom(1, 5, 20, 120, 1100),
      paused: fc.integer({ min: -1, max: HOST_COUNT - 1 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('finish' as const), host: hostArbitrary, isRun: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('own' as const),
      owner: fc.option(hostArbitrary),
      host: hostArbitrary,
    }),
  },
);

/** Runs the managers against the model: which grants are held, finished or given back, by key. */
class GrantModel {
  readonly bed = new ClaimTestBed(HOST_COUNT, { shardCount: 1, maxBucketClaims: 3 });

  readonly #keys = new Map<RequestId, string>();

  readonly #released = new Set<RequestId>();

  readonly #finished = new Set<RequestId>();

  apply(action: Action): void {
    switch (action.kind) {
      case 'request': {
        const key = `k${action.key}`;
        this.#keys.set(this.bed.request(action.host, key), key);
        break;
      }
      case 'meet':
        if (this.bed.inFlight.length > 0) {
          this.bed.settle(action.index % this.bed.inFlight.length, action.fate);
        }
        break;
      case 'advance':
        this.bed.advance(action.durationMs, [action.paused]);
        break;
      case 'finish':
        this.#finish(action.host, action.isRun);
        break;
      default:
        this.bed.setOwner(action.owner, [action.host]);
    }
    this.checkGrants();
  }

  /** For each key at most one grant that was not given back before anything was sent. */
  checkGrants(): void {
    const grantedKeys = this.bed.events
      .filter(({ kind, requestId }) => kind === 'granted' && !this.#released.has(requestId))
      .map(({ requestId }) => this.#keys.get(requestId));
    assert.equal(new Set(grantedKeys).size, grantedKeys.length, 'a key was granted twice');
  }

  checkAnswered(): void {
    this.#keys.forEach((_, requestId) => {
      assert.equal(this.bed.getEventKinds(requestId).length, 1, `${requestId} answered once`);
    });
  }

  /** Once everything was given back or recorded, no key is left running. */
  checkNothingLeftRunning(): void {
    this.bed.hosts.forEach((_, host) => {
      while (this.#finish(host, host % 2 === 0)) {
        this.checkGrants();
      }
    });
    this.bed.run(SETTLE_MS);
    const ids = Array.from({ length: KEY_COUNT }, (_, key) => {
      const id = this.bed.request(0, `k${key}`);
      this.#keys.set(id, `k${key}`);
      this.bed.run(SETTLE_MS);
      return id;
    });
    ids.forEach((id) => {
      const [kind] = this.bed.getEventKinds(id);
      assert.ok(kind === 'granted' || kind === 'completedBefore', `got ${kind}`);
    });
    this.checkGrants();
  }

  #finish(host: number, isRun: boolean): boolean {
    const event = this.bed.events.find(({ kind, requestId, host: at }) => (
      kind === 'granted' && at === host
      && !this.#released.has(requestId) && !this.#finished.has(requestId)
    ));
    if (event === undefined) {
      return false;
    }
    if (isRun) {
      this.#finished.add(event.requestId);
      this.bed.getHost(host).manager.recordOutcome(event.requestId, ANSWER);
    } else {
      this.#released.add(event.requestId);
      this.bed.getHost(host).manager.releaseNotRun(event.requestId);
    }
    this.bed.collect();
    return true;
  }
}

describe('ClaimManager, random interleavings', () => {
  it('grants each key at most once, answers each request once and leaves no key running', () => {
    fc.assert(
      fc.property(fc.array(actionArbitrary, { maxLength: MAX_ACTIONS }), (actions) => {
        const model = new GrantModel();
        actions.forEach((action) => model.apply(action));
        model.bed.run(SETTLE_MS);
        model.checkGrants();
        model.checkAnswered();
        model.checkNothingLeftRunning();
      }),
      { seed: 20_261_203, numRuns: RUNS },
    );
  });
});
