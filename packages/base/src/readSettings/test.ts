import test from 'ava';
import * as z from 'zod';
import { parseSettings } from './index.js';

const schema = z.strictObject({ listen: z.strictObject({ port: z.number().int() }) });

test('the error names an invalid field by its path, and an unknown field', (t) => {
  const error = t.throws(() => parseSettings('listen: { port: high, prot: 1 }', schema, 'a.yaml'));
  t.regex(error.message, /a\.yaml: listen\.port: /);
  t.regex(error.message, /prot/);
});

test('rejects a text that is not YAML', (t) => {
  t.throws(() => parseSettings('a: [', schema, 'a.yaml'), { message: /is not YAML/ });
});
