/** Path from the document's root to a value: keys and array indices. */
export type DocumentPath = readonly (string | number)[];

/** A problem at a path of a document, before the path is resolved to a line and column. */
export interface DocumentProblem {
  readonly path: DocumentPath;
  /** Key below the path that the problem is about; null when it is about the value at the path. */
  readonly key: string | null;
  /** Whether the value may be a secret and must not be shown. */
  readonly isSecret: boolean;
  readonly message: string;
  readonly cure: string;
}

/**
 * Formats a path for display.
 *
 * @param path - path from the root
 * @returns the formatted path, such as `pools[0].kind`
 */
export function formatDocumentPath(path: DocumentPath): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/**
 * Looks up a value in an unvalidated document.
 *
 * @param root - the document as plain values
 * @param path - path from the root
 * @returns the value at the path; undefined when there is none
 */
export function getValueAt(root: unknown, path: DocumentPath): unknown {
  return path.reduce<unknown>((value, step) => {
    const isContainer = typeof value === 'object' && value !== null;
    return isContainer && Object.hasOwn(value, step)
      ? (value as Record<string | number, unknown>)[step]
      : undefined;
  }, root);
}
