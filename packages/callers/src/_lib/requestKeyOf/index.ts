/**
 * Request keys and digests, which are the same for all retries of a request at all instances.
 */
import { digestText, type RequestKey } from '@acaciacrank/base';
import type { ChatCall, ServiceCall } from '../../types.js';

/**
 * Combines the budget and the idempotency key. A budget belongs to one account, so two accounts
 * never share a request key.
 */
export function requestKeyOf(call: ChatCall | ServiceCall): RequestKey {
  return `${call.budgetId}/${call.idempotencyKey}` as RequestKey;
}

/**
 * Digest of a chat call, to distinguish a retry from another request with the same idempotency key.
 */
export function chatDigest(call: ChatCall): string {
  return digestText(JSON.stringify([call.model, call.messages, call.maxTokens ?? null]));
}

/** Digest of a service call, for the same purpose as {@link chatDigest}. */
export function serviceDigest(call: ServiceCall): string {
  const head = JSON.stringify([call.service, call.method, call.path]);
  return digestText(`${head}\n${digestText(call.body)}`);
}
