/**
 * `npm run experiment -- NAME`: runs a simulation that compares policies in virtual time.
 */
import { runNamed } from './_lib/runNamed/index.js';

await runNamed('experiment', new URL('./experiments/', import.meta.url));
