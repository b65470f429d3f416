import { RouterError } from '@acaciacrank/base';
import * as z from 'zod';
import type { CallIdentity, ChatCall } from '../types.js';

const chatBodySchema = z.object({
  model: z.string().min(1),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().optional(),
});

/** A chat call, and whether the caller requested streaming. */
export interface ParsedChatCall {
  readonly call: ChatCall;
  readonly isStreamed: boolean;
}

/**
 * Parses a request body in the chat completions format.
 *
 * @param identity - who calls
 * @param text - the request body
 * @returns the call, and whether to stream its answer
 * @throws RouterError `badRequest`, with the path of the invalid field
 *
 * @example
 * const { call } = parseChatCall(identity, '{"model":"m","messages":[{"role":"user","content":"hi"}]}');
 */
export function parseChatCall(identity: CallIdentity, text: string): ParsedChatCall {
  const result = chatBodySchema.safeParse(parseJson(text));
  if (!result.success) {
    const [issue] = result.error.issues;
    const path = issue?.path.map(String).join('.') ?? '';
    throw new RouterError('badRequest', `${path || 'body'}: ${issue?.message ?? 'is invalid'}`);
  }
  const { model, messages, max_tokens: maxTokens, stream } = result.data;
  return { call: { ...identity, model, messages, maxTokens }, isStreamed: stream ?? false };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new RouterError('badRequest', 'the body is not JSON');
  }
}
