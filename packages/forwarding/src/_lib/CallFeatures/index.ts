import type { FeatureId, ServiceName } from '@acaciacrank/base';
import type { RequestFeatures } from '@acaciacrank/callers';
import { digestContent } from '../digestContent/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';

/** Longest content of a request that is used as it is instead of its digest, in characters. */
const maxPlainLength = 96;

/**
 * What a forwarded request has in common with others: the parts of its prompt but the last, which is its own, and all
 * that it requests.
 */
export class CallFeatures implements RequestFeatures {
  readonly service: ServiceName;
  readonly parts: readonly FeatureId[];
  readonly known: readonly FeatureId[];
  readonly #call: ForwardCall;
  #content: FeatureId | undefined;

  constructor(call: ForwardCall) {
    const { service, head, body, request } = call;
    this.#call = call;
    this.service = service.name;
    this.parts = head.promptParts.slice(0, -1).map(({ id }) => id as FeatureId);
    const { method = 'GET', url = '/' } = request;
    const isPlain = body.byteLength === 0 && head.promptParts.length === 0;
    const text = `${method} ${url}`;
    if (isPlain && text.length <= maxPlainLength) this.#content = text as FeatureId;
    this.known = this.#content === undefined ? this.parts : [this.#content];
  }

  /** Names all that the request is for, the same for all attempts to send it. */
  get content(): FeatureId {
    return (this.#content ??= digestContent(this.#call) as FeatureId);
  }
}
