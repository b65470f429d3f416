/**
 * `npm run bench -- NAME`: runs a benchmark on this machine; where two variants are compared, the
 * result is a ratio.
 */
import { runModuleByName } from './_lib/runModuleByName/index.js';

await runModuleByName('bench', new URL('./benches/', import.meta.url));
