import { DutyAssignment, type DutyMembership } from '../../src/duties/DutyAssignment.ts';
import type { ManualClock } from '../../src/time/ManualClock.ts';
import { FakeCoreContext } from './FakeCoreContext.ts';
import type { FakeKeyValueStore } from './FakeKeyValueStore.ts';

/** Duty assignment of one host, whose platform calls are answered immediately. */
export class DutyTestHost {
  readonly duties: DutyAssignment;

  /** Whether the host reaches the platform. */
  isPlatformReachable = true;

  readonly #context: FakeCoreContext;

  readonly #store: FakeKeyValueStore;

  /**
   * @param hostId - the host's id
   * @param membership - the host's view of the members
   * @param store - the platform's key-value service, shared by the hosts of a test
   * @param clock - shared by the hosts of a test
   */
  constructor(
    hostId: string,
    membership: DutyMembership,
    store: FakeKeyValueStore,
    clock: ManualClock,
  ) {
    this.#context = new FakeCoreContext(hostId, clock);
    this.#store = store;
    this.duties = new DutyAssignment(this.#context, membership);
  }

  /** Ticks the duties and answers their platform calls. */
  step(): void {
    this.duties.tick();
    this.#context.takeOutputs().forEach((output) => {
      if (output.kind === 'callKeyValue') {
        this.duties.handleKeyValueAnswer({
          kind: 'keyValueAnswered',
          operationId: output.operationId,
          answer: this.isPlatformReachable
            ? this.#store.execute(output.call)
            : { kind: 'unavailable', detail: 'cut off' },
        });
      }
    });
  }
}
