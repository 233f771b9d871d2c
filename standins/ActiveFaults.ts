/** A fault of some kind; `times` limits how often it applies. */
interface FaultOfKind {
  readonly kind: string;
  readonly times?: number | undefined;
}

/** The active faults of a stand-in, at most one of each kind. */
export class ActiveFaults<Fault extends FaultOfKind> {
  readonly #faults = new Map<Fault['kind'], Fault>();

  readonly #remainingTimes = new Map<Fault['kind'], number>();

  /**
   * Activates a fault, replacing an active one of the same kind.
   *
   * @param fault - the fault; `none` ends all faults
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
   * @returns the fault, without counting a use; null if it is not active
   */
  get<Kind extends Fault['kind']>(kind: Kind): Extract<Fault, { kind: Kind }> | null {
    const fault = this.#faults.get(kind) as Extract<Fault, { kind: Kind }> | undefined;
    return fault ?? null;
  }

  /**
   * Uses the fault once and counts the use against its `times`.
   *
   * @param kind - the kind of fault
   * @returns the fault; null if it is not active
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
