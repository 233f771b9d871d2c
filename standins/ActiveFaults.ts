/** A fault by its kind; `times` limits how often it strikes. */
interface FaultOfKind {
  readonly kind: string;
  readonly times?: number | undefined;
}

/** The faults that a stand-in suffers from at present, at most one of each kind. */
export class ActiveFaults<Fault extends FaultOfKind> {
  readonly #faults = new Map<Fault['kind'], Fault>();

  readonly #remainingTimes = new Map<Fault['kind'], number>();

  /**
   * Starts a fault; one of the same kind is replaced.
   *
   * @param fault - what goes wrong from now on; `none` ends all faults
   */
  add(fault: Fault): void {
    if (fault.kind === 'none') {
      this.#faults.clear();
      this.#remainingTimes.clear();
      return;
    }
    this.#faults.set(fault.kind, fault);
    this.#remainingTimes.set(fault.kind, fault.times ?? Infinity);
  }

  /**
   * @param kind - the kind of fault
   * @returns the fault, without using it up; null when it is not active
   */
  get<Kind extends Fault['kind']>(kind: Kind): Extract<Fault, { kind: Kind }> | null {
    const fault = this.#faults.get(kind) as Extract<Fault, { kind: Kind }> | undefined;
    return fault ?? null;
  }

  /**
   * Lets the fault strike once.
   *
   * @param kind - the kind of fault
   * @returns the fault, or null when it is not active
   */
  consume<Kind extends Fault['kind']>(kind: Kind): Extract<Fault, { kind: Kind }> | null {
    const fault = this.get(kind);
    if (fault === null) {
      return null;
    }
    const remaining = (this.#remainingTimes.get(kind) ?? 0) - 1;
    this.#remainingTimes.set(kind, remaining);
    if (remaining <= 0) {
      this.#faults.delete(kind);
    }
    return fault;
  }
}
