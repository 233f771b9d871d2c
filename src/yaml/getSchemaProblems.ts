import type { TSchema } from '@sinclair/typebox';
import { Ajv, type ErrorObject, type ValidateFunction } from 'ajv';
import { findNearestName } from '../lib/findNearestName.ts';
import type { DocumentPath, DocumentProblem } from './DocumentProblem.ts';

/** The parts of a JSON schema that messages are made from. */
interface SchemaPart {
  readonly const?: unknown;
  readonly description?: string;
  readonly writeOnly?: boolean;
  readonly properties?: Readonly<Record<string, SchemaPart>>;
  readonly anyOf?: readonly SchemaPart[];
}

interface ProblemText {
  readonly message: string;
  readonly cure: string;
}

// `verbose` hands over the schema beside each error, which the wording is made from.
const ajv = new Ajv({ allErrors: true, verbose: true, strict: true });
const validators = new WeakMap<TSchema, ValidateFunction>();

function getUnknownKeyText(name: string, parent: SchemaPart): ProblemText {
  const known = Object.keys(parent.properties ?? {});
  const nearest = findNearestName(name, known);
  return {
    message: `unknown key "${name}"`,
    cure: nearest === null
      ? `remove it; known keys are ${known.join(', ')}`
      : `did you mean "${nearest}"?`,
  };
}

function formatUnionMember(member: SchemaPart): string {
  if ('const' in member) {
    return JSON.stringify(member.const);
  }
  const names = Object.keys(member.properties ?? {});
  return `{ ${names.map((name) => `${name}: ...`).join(', ')} }`;
}

function getUnionText(parent: SchemaPart): ProblemText {
  const members = (parent.anyOf ?? []).map(formatUnionMember).join(' or ');
  return { message: `must be ${members}`, cure: `give ${members}` };
}

function getProblemText(error: ErrorObject, parent: SchemaPart): ProblemText {
  const { keyword, params } = error;
  switch (keyword) {
    case 'additionalProperties':
      return getUnknownKeyText(String(params.additionalProperty), parent);
    case 'required': {
      const name = String(params.missingProperty);
      return { message: `"${name}" is missing`, cure: `add "${name}: ..."` };
    }
    case 'type':
      return {
        message: `must be of type ${params.type}`,
        cure: `give a value of type ${params.type}`,
      };
    case 'anyOf':
      return getUnionText(parent);
    case 'pattern':
      return {
        message: `must match ${params.pattern}`,
        cure: `give ${parent.description ?? 'text of that form'}`,
      };
    case 'minLength':
      return { message: 'must not be empty', cure: 'give at least one character' };
    case 'minItems':
    case 'maxItems':
      return { message: String(error.message), cure: 'add or remove items' };
    case 'minimum':
    case 'maximum':
    case 'exclusiveMinimum':
    case 'exclusiveMaximum':
      return {
        message: `must be ${params.comparison} ${params.limit}`,
        cure: `give a number ${params.comparison} ${params.limit}`,
      };
    default:
      return { message: error.message ?? keyword, cure: 'see the schema in docs/PROTOCOLS.md' };
  }
}

function parsePointer(pointer: string, root: unknown): DocumentPath {
  let value = root;
  return pointer.split('/').slice(1).map((escaped) => {
    const step = escaped.replaceAll('~1', '/').replaceAll('~0', '~');
    const isIndex = Array.isArray(value);
    value = (value as Record<string, unknown>)[step];
    return isIndex ? Number(step) : step;
  });
}

function createProblem(error: ErrorObject, root: unknown): DocumentProblem {
  const parent = (error.parentSchema ?? {}) as SchemaPart;
  const isUnknownKey = error.keyword === 'additionalProperties';
  return {
    path: parsePointer(error.instancePath, root),
    key: isUnknownKey ? String(error.params.additionalProperty) : null,
    // What stands under an unknown key may belong under the key of a secret.
    isSecret: isUnknownKey || (parent.writeOnly ?? false),
    ...getProblemText(error, parent),
  };
}

/**
 * Checks plain values against a schema and words every problem.
 *
 * @param schema - what is expected; `writeOnly` marks secrets, `description` words a pattern
 * @param value - the document as plain values
 * @returns all problems, none when the value fits
 */
export function getSchemaProblems(schema: TSchema, value: unknown): DocumentProblem[] {
  const validate = validators.get(schema) ?? ajv.compile(schema);
  validators.set(schema, validate);
  if (validate(value)) {
    return [];
  }
  const errors = validate.errors ?? [];
  const unions = errors.filter((error) => error.keyword === 'anyOf');
  // A union reports each of its members as well; its own message says it all.
  const isInsideUnion = (error: ErrorObject): boolean => unions
    .some((union) => error !== union && error.schemaPath.startsWith(`${union.schemaPath}/`));
  return errors
    .filter((error) => !isInsideUnion(error))
    .map((error) => createProblem(error, value));
}
