const MAX_ORDERS = 1024;

/** An order to load a model, an adapter or a version, or to change the role. */
export interface EngineOrder {
  /** The order itself, such as `{ kind: 'loadModel', model }`. */
  readonly order: unknown;
  /** Increases with each new host that has the duty to give orders. */
  readonly fencingNumber: number;
}

/** The orders that an engine accepted, and their highest fencing number. */
export class OrderLog {
  readonly #checksFencing: boolean;

  #accepted: EngineOrder[] = [];

  #fencingNumber = 0;

  /**
   * @param checksFencing - whether to refuse orders with an old fencing number
   */
  constructor(checksFencing: boolean) {
    this.#checksFencing = checksFencing;
  }

  /** The latest accepted orders, oldest first. */
  get accepted(): readonly EngineOrder[] {
    return this.#accepted;
  }

  /**
   * Accepts an order unless its fencing number is too old.
   *
   * @param order - the order
   * @returns null if accepted, otherwise the newer fencing number that caused the refusal
   */
  accept(order: EngineOrder): number | null {
    if (this.#checksFencing && order.fencingNumber < this.#fencingNumber) {
      return this.#fencingNumber;
    }
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
    this.#accepted = [...this.#accepted, order].slice(-MAX_ORDERS);
    return null;
  }
}
