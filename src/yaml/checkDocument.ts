import type { Static, TSchema } from '@sinclair/typebox';
import {
  isMap, isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import type { Finding } from '../settings/Finding.ts';
import {
  formatDocumentPath, getValueAt, type DocumentPath, type DocumentProblem,
} from './DocumentProblem.ts';
import { getSchemaProblems } from './getSchemaProblems.ts';

/** Longest part of a value that a finding repeats, in characters. */
const MAX_VALUE_LENGTH = 60;

/** What to check, and against what. */
export interface CheckDocumentOptions<Schema extends TSchema> {
  /** What findings call the source of the text. */
  readonly file: string;
  /** YAML; JSON is a subset of it. */
  readonly text: string;
  readonly schema: Schema;
  /**
   * Checks that a schema can't express. It gets the values as they stand, possibly against the
   * schema, so that its findings come together with all the others.
   */
  readonly getSemanticProblems?: (value: unknown) => readonly DocumentProblem[];
}

function getPosition(lineCounter: LineCounter, offset: number): { line: number; column: number } {
  const place = lineCounter.linePos(offset);
  return { line: Math.max(1, place.line), column: Math.max(1, place.col) };
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
    cure: 'correct the YAML at this place',
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

/** The values of the document, or everything that is wrong with it. */
export type CheckedDocument<T> =
  | { readonly kind: 'valid'; readonly value: T }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] };

/**
 * Parses and checks a document that a person wrote, and collects every finding with its place.
 *
 * @param options - the text and its schema
 * @returns the typed values, or all findings in the order of their places
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
