/**
 * Reads the list of known failures that are not fixed yet.
 */
import { existsSync, readFileSync } from 'node:fs';

const file = new URL('../../../../../../KNOWN-RED.txt', import.meta.url);

/** Whether `KNOWN-RED.txt` contains the command that reproduces a failure; false for an empty command. */
export function isKnownRed(command: string): boolean {
  if (command === '' || !existsSync(file)) return false;
  return readFileSync(file, 'utf8').includes(command);
}
