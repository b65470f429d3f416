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
  return finishHash(addText(initialHash, text));
}

/**
 * Returns a function that hashes texts with a common start, which is processed only once.
 *
 * @param start - the common start
 * @returns for the rest of a text, the hash of the whole text
 *
 * @example
 * hashTextsStartingWith('a/')('b') === hashText('a/b');
 * //=> true
 */
export function hashTextsStartingWith(start: string): (rest: string) => number {
  const startHash = addText(initialHash, start);
  return (rest) => finishHash(addText(startHash, rest));
}

const initialHash = 0x811c9dc5;

function addText(hash: number, text: string): number {
  let next = hash;
  for (let index = 0; index < text.length; index += 1) {
    next = Math.imul(next ^ text.charCodeAt(index), 0x01000193);
  }
  return next;
}

/** Without this mix, short texts that differ only in their last character get nearby hashes. */
function finishHash(hash: number): number {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
