import { createHash } from 'node:crypto';

/**
 * Returns the SHA-256 digest of a text or bytes, in hexadecimal.
 *
 * @param data - the text or bytes to digest
 * @returns 64 hexadecimal digits
 *
 * @example
 * digestText('').slice(0, 8);
 * //=> 'e3b0c442'
 */
export function digestText(data: string | Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}
