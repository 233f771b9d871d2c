import type { Static, TSchema } from '@sinclair/typebox';
import {
  isMap, isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import type { Finding } from '../settings/Finding.ts';
import {
  formatDocumentPath, getValueAt, type DocumentPath, type DocumentProblem,
} from './DocumentProblem.ts';
import { getSchemaProblems } from './getSchemaProblems.ts';

/** Maximum length of a value shown in a finding, in characters. */
const MAX_VALUE_LENGTH = 60;

/** Options of {@link checkDocument}. */
export interface CheckDocumentOptions<Schema extends TSchema> {
  /** Name of the text's source in findings. */
  readonly file: string;
  /** Text to check: YAML, of which JSON is a subset. */
  readonly text: string;
  readonly schema: Schema;
  /**
   * Performs checks that a schema can't express. It receives the unvalidated values, so that its
   * findings are reported together with those of the schema.
   */
  readonly getSemanticProblems?: (value: unknown) => readonly DocumentProblem[];
}

function getPosition(lineCounter: LineCounter, offset: number): { line: number; column: number } {
  const position = lineCounter.linePos(offset);
  return { line: Math.max(1, position.line), column: Math.max(1, position.col) };
}

function getSyntaxFindings(
  file: string,
  document: Document,
  lineCounter: LineCounter,
): Finding[] {
  return document.errors.map((error) => ({
    file,
    ...getPosition(lineCounter, error.pos[0]),
    path: '',
    value: '',
    message: `not valid YAML: ${error.message.split('\n')[0]}`,
    cure: 'correct the YAML at this position',
  }));
}

function getValueOffset(document: Document, path: DocumentPath): number {
  const node = path.length === 0 ? document.contents : document.getIn(path, true);
  return isNode(node) ? node.range?.[0] ?? 0 : 0;
}

function getKeyOffset(document: Document, path: DocumentPath, key: string): number {
  const map = path.length === 0 ? document.contents : document.getIn(path, true);
  if (!isMap(map)) {
    return getValueOffset(document, path);
  }
  const pair = map.items.find((item) => String(item.key) === key);
  return isNode(pair?.key) ? pair.key.range?.[0] ?? 0 : 0;
}

function formatValue(value: unknown): string {
  if (value === undefined || (typeof value === 'object' && value !== null)) {
    return '';
  }
  const text = JSON.stringify(value);
  return text.length > MAX_VALUE_LENGTH
    ? `${text.slice(0, MAX_VALUE_LENGTH)}...`
    : text;
}

function locateProblem(
  problem: DocumentProblem,
  file: string,
  document: Document,
  lineCounter: LineCounter,
  root: unknown,
): Finding {
  const path = problem.key === null ? problem.path : [...problem.path, problem.key];
  const offset = problem.key === null
    ? getValueOffset(document, problem.path)
    : getKeyOffset(document, problem.path, problem.key);
  return {
    file,
    ...getPosition(lineCounter, offset),
    path: formatDocumentPath(path),
    value: problem.isSecret ? '' : formatValue(getValueAt(root, path)),
    message: problem.message,
    cure: problem.cure,
  };
}

/** The values of a valid document, or all findings about an invalid one. */
export type CheckedDocument<T> =
  | { readonly kind: 'valid'; readonly value: T }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] };

/**
 * Parses and validates a document that a person wrote, and collects all findings with their
 * positions.
 *
 * @param options - the text and its schema
 * @returns the typed values, or all findings in the order of their positions
 */
export function checkDocument<Schema extends TSchema>(
  options: CheckDocumentOptions<Schema>,
): CheckedDocument<Static<Schema>> {
  const lineCounter = new LineCounter();
  const document = parseDocument(options.text, { lineCounter, prettyErrors: false });
  if (document.errors.length > 0) {
    return { kind: 'invalid', findings: getSyntaxFindings(options.file, document, lineCounter) };
  }
  const value: unknown = document.toJS();
  const problems = [
    ...getSchemaProblems(options.schema, value),
    ...options.getSemanticProblems?.(value) ?? [],
  ];
  if (problems.length === 0) {
    return { kind: 'valid', value: value as Static<Schema> };
  }
  const findings = problems
    .map((problem) => locateProblem(problem, options.file, document, lineCounter, value))
    .sort((left, right) => left.line - right.line || left.column - right.column);
  return { kind: 'invalid', findings };
}
