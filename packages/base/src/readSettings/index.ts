import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import type { z } from 'zod';
import { RouterError } from '../RouterError/index.js';

/**
 * Parses a settings text and validates it against a schema.
 *
 * @param text - YAML
 * @param schema - a strict zod schema, which rejects unknown fields
 * @param source - where the text came from, for error messages
 * @returns the validated settings
 * @throws RouterError `badSettings`, with one line per error, each with the field's path
 *
 * @example
 * parseSettings('port: 80', z.strictObject({ port: z.number() }), 'a.yaml');
 * //=> { port: 80 }
 */
export function parseSettings<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  source: string,
): z.infer<Schema> {
  const result = schema.safeParse(parseYaml(text, source));
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) => {
    const path = issue.path.map(String).join('.') || '(top level)';
    return `${source}: ${path}: ${issue.message}`;
  });
  throw new RouterError('badSettings', faults.join('\n'));
}

/**
 * Reads a settings file and validates it.
 *
 * @param path - the file
 * @param schema - a strict zod schema
 * @returns the validated settings
 * @throws RouterError `badSettings` when the file cannot be read or does not match the schema
 *
 * @example
 * const settings = readSettings('instance.yaml', instanceSettingsSchema);
 */
export function readSettings<Schema extends z.ZodType>(
  path: string,
  schema: Schema,
): z.infer<Schema> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new RouterError('badSettings', `${path}: cannot be read`, { cause: error as Error });
  }
  return parseSettings(text, schema, path);
}

function parseYaml(text: string, source: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    throw new RouterError('badSettings', `${source}: is not YAML: ${(error as Error).message}`);
  }
}
