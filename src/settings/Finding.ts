/** A problem in a document that an operator wrote: its location, description and cure. */
export interface Finding {
  /** Path of the file as given, or the source of the text. */
  readonly file: string;
  /** Line number, from 1. */
  readonly line: number;
  /** Column number, from 1. */
  readonly column: number;
  /** Path within the document, such as `pools[0].kind`; empty for the whole document. */
  readonly path: string;
  /** The value found, as JSON; empty when there is none, or when it may be a secret. */
  readonly value: string;
  readonly message: string;
  readonly cure: string;
}
