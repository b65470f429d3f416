import { digestText, type AccountId, type StreamKey } from '@acaciacrank/base';

/** Length of a key in hexadecimal digits. */
const keyLength = 24;

/**
 * Returns the key of the stream that an attempt of a caller has begun. Ids of attempts are the callers' own, so
 * that those of two accounts may be equal.
 *
 * @param accountId - the account of the caller; undefined on routes without accounts
 * @param attempt - the id of the attempt that received the first event
 *
 * @example
 * streamKeyOf('school' as AccountId, '9c41d07be2a35f68');
 */
export function streamKeyOf(accountId: AccountId | undefined, attempt: string): StreamKey {
  const digest = digestText(JSON.stringify([accountId ?? null, attempt]));
  return digest.slice(0, keyLength) as StreamKey;
}
