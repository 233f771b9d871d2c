const MAX_ORDERS = 1024;

/** An order to load a model, an adapter or a version, or to change the role. */
export interface EngineOrder {
  /** What is ordered, such as `{ kind: 'loadModel', model }`. */
  readonly order: unknown;
  /** Grows with each new holder of the duty to give orders. */
  readonly fencingNumber: number;
}

/** The orders that an engine took, and the highest fencing number among them. */
export class OrderLog {
  readonly #checksFencing: boolean;

  #accepted: EngineOrder[] = [];

  #fencingNumber = 0;

  /**
   * @param checksFencing - whether orders with an old fencing number are refused
   */
  constructor(checksFencing: boolean) {
    this.#checksFencing = checksFencing;
  }

  /** The latest accepted orders, in their sequence. */
  get accepted(): readonly EngineOrder[] {
    return this.#accepted;
  }

  /**
   * Takes an order.
   *
   * @param order - the order
   * @returns null when accepted, otherwise the fencing number that is too new for it
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
