/**
 * Returns a 32-bit hash of a text (FNV-1a with a final mix); for placement only, not for security.
 *
 * @param text - the text to hash
 * @returns a whole number in [0, 2^32)
 *
 * @example
 * hashText('a') === hashText('a');
 * //=> true
 */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  // Without this mix, short texts that differ only in their last character get nearby hashes.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
