import { DutyAssignment, type DutyMembership } from '../../src/duties/DutyAssignment.ts';
import type { ManualClock } from '../../src/time/ManualClock.ts';
import { FakeCoreContext } from './FakeCoreContext.ts';
import type { FakeKeyValueStore } from './FakeKeyValueStore.ts';

/** The duties of one host, whose calls to the platform are carried out at once. */
export class DutyTestHost {
  readonly duties: DutyAssignment;

  /** Whether the platform answers this host. */
  isPlatformReachable = true;

  readonly #context: FakeCoreContext;

  readonly #store: FakeKeyValueStore;

  /**
   * @param hostId - the host's name
   * @param membership - its view of the members
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

  /** Runs what is due. */
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
