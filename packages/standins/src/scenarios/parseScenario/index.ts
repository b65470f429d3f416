import { RouterError } from '@acaciacrank/base';
import { LineCounter, parseDocument, type Document } from 'yaml';
import { scenarioSchema, type Scenario } from '../scenarioSchema/index.js';

/**
 * Parses and validates a scenario file; unknown keys are errors.
 *
 * @param text - YAML text
 * @param source - name of the file, for error messages
 * @returns the scenario
 * @throws RouterError `badSettings`, with one line for each problem: source, line, path and message
 *
 * @example
 * const scenario = parseScenario(readFileSync('scenarios/store-down.yaml', 'utf8'), 'store-down');
 */
export function parseScenario(text: string, source: string): Scenario {
  const lines = new LineCounter();
  const yamlDocument = parseDocument(text, { lineCounter: lines });
  const [syntaxError] = yamlDocument.errors;
  if (syntaxError !== undefined)
    throw new RouterError('badSettings', `${source}: ${syntaxError.message}`);
  const result = scenarioSchema.safeParse(yamlDocument.toJS());
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) => {
    const { line } = lines.linePos(offsetOf(yamlDocument, issue.path));
    const path = issue.path.map(String).join('.') || '(top level)';
    return `${source}:${line}: ${path}: ${issue.message}`;
  });
  throw new RouterError('badSettings', problems.join('\n'));
}

function offsetOf(yamlDocument: Document, path: readonly PropertyKey[]): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = yamlDocument.getIn(path.slice(0, length), true) as
      { range?: [number] } | undefined;
    if (node?.range !== undefined) return node.range[0];
  }
  return 0;
}
