import { RouterError } from '@acaciacrank/base';
import { isMap, isScalar, LineCounter, parseDocument, type Document } from 'yaml';
import { checkConsistency } from '../_lib/checkConsistency/index.js';
import { describeIssue } from '../_lib/describeIssue/index.js';
import { environmentSchema, type EnvironmentDocument } from '../environmentSchema/index.js';
import type { DocumentFault } from '../types.js';

/** Maximum number of faults listed in one error; the others are only counted. */
export const maxListedFaults = 20;

/**
 * Parses and validates the text of an environment document.
 *
 * @param text - the document, as YAML
 * @param source - name of the source, for error messages
 * @returns the document
 * @throws RouterError `badDocument` with one line per fault: source, line, column, path, description
 * and correction
 *
 * @example
 * const document = parseEnvironment(readFileSync('kapiti.yaml', 'utf8'), 'kapiti.yaml');
 */
export function parseEnvironment(text: string, source = 'document'): EnvironmentDocument {
  const lineCounter = new LineCounter();
  const yamlDocument = parseDocument(text, { lineCounter, prettyErrors: false });
  const syntaxErrors = yamlDocument.errors.map(
    (error) => `${formatPosition(lineCounter, error.pos[0])}: ${error.message}`,
  );
  if (syntaxErrors.length > 0) throw badDocument(source, syntaxErrors);
  const value = toPlainValue(yamlDocument, source);
  const result = environmentSchema.safeParse(value);
  const faults = result.success
    ? checkConsistency(result.data)
    : result.error.issues.flatMap((issue) => describeIssue(issue, value));
  if (result.success && faults.length === 0) return result.data;
  throw badDocument(
    source,
    faults.map(
      (fault) =>
        `${formatPosition(lineCounter, offsetOf(yamlDocument, fault))}: ${formatFault(fault)}`,
    ),
  );
}

function badDocument(source: string, faults: readonly string[]): RouterError {
  const listed = faults.slice(0, maxListedFaults).map((fault) => `${source}:${fault}`);
  const unlistedCount = faults.length - listed.length;
  if (unlistedCount > 0) listed.push(`${source}: and ${unlistedCount} more faults`);
  return new RouterError('badDocument', listed.join('\n'));
}

function formatPosition(lineCounter: LineCounter, offset: number): string {
  const { line, col } = lineCounter.linePos(offset);
  return `${line}:${col}`;
}

function formatFault({ path, message }: DocumentFault): string {
  return `${path.map(String).join('.') || '(top level)'}: ${message}`;
}

/** Throws for excessive aliases, which the YAML library refuses to expand into a huge document. */
function toPlainValue(yamlDocument: Document, source: string): unknown {
  try {
    return yamlDocument.toJS();
  } catch (error) {
    throw new RouterError(
      'badDocument',
      `${source}: the YAML cannot be expanded; write it without aliases`,
      { cause: error as Error },
    );
  }
}

/** Finds the text offset of a fault. For a missing field, it is that of the enclosing map. */
function offsetOf(yamlDocument: Document, fault: DocumentFault): number {
  const { path, isKey } = fault;
  if (isKey) {
    const map =
      path.length === 1 ? yamlDocument.contents : yamlDocument.getIn(path.slice(0, -1), true);
    const pair = isMap(map)
      ? map.items.find(({ key }) => isScalar(key) && key.value === path.at(-1))
      : undefined;
    if (isScalar(pair?.key) && pair.key.range != null) return pair.key.range[0];
  }
  for (let length = path.length; length >= 0; length -= 1) {
    const node: unknown =
      length === 0 ? yamlDocument.contents : yamlDocument.getIn(path.slice(0, length), true);
    const range = (node as { range?: [number, number, number] } | undefined)?.range;
    if (range !== undefined) return range[0];
  }
  return 0;
}
