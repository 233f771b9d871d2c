/** Something wrong in a document that a person wrote: where, what, and the cure. */
export interface Finding {
  /** The file as the person named it, or what the text came from. */
  readonly file: string;
  /** Starts at 1. */
  readonly line: number;
  /** Starts at 1. */
  readonly column: number;
  /** Where in the document, such as `pools[0].kind`; empty for the whole document. */
  readonly path: string;
  /** What stands there, as JSON; empty when nothing does, or when it may be a secret. */
  readonly value: string;
  readonly message: string;
  readonly cure: string;
}
