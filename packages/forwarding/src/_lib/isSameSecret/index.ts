import { createHash, timingSafeEqual } from 'node:crypto';

/** Compares two secrets in a time that does not depend on where they differ. */
export function isSameSecret(one: string, other: string): boolean {
  const digestOf = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digestOf(one), digestOf(other));
}
