/**
 * `npm run experiment -- NAME`: runs a simulation that compares policies in virtual time.
 */
import { runModuleByName } from './_lib/runModuleByName/index.js';

await runModuleByName('experiment', new URL('./experiments/', import.meta.url));
