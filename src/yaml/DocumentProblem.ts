/** Steps from the document's root to a value: keys and array indices. */
export type DocumentPath = readonly (string | number)[];

/** Something wrong at a place of a document, before the place is turned into line and column. */
export interface DocumentProblem {
  readonly path: DocumentPath;
  /** Points at the key of this name below the path instead of at the value; null for the value. */
  readonly key: string | null;
  /** Whether what stands there may be a secret, so that it must not be shown. */
  readonly isSecret: boolean;
  readonly message: string;
  readonly cure: string;
}

/**
 * Writes a path for people.
 *
 * @param path - steps from the root
 * @returns such as `pools[0].kind`
 */
export function formatDocumentPath(path: DocumentPath): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/**
 * Looks up a value of an unchecked document.
 *
 * @param root - the document as plain values
 * @param path - steps from the root
 * @returns what stands there; undefined when nothing does
 */
export function getValueAt(root: unknown, path: DocumentPath): unknown {
  return path.reduce<unknown>((value, step) => {
    const isContainer = typeof value === 'object' && value !== null;
    return isContainer && Object.hasOwn(value, step)
      ? (value as Record<string | number, unknown>)[step]
      : undefined;
  }, root);
}
