/**
 * What calls have in common with others, for the quarantine.
 */
import { digestText, type FeatureId, type ServiceName } from '@acaciacrank/base';
import type { ChatMessage } from '@acaciacrank/upstreams';
import type { RequestFeatures } from '../../RequestQuarantine/index.js';

/** Length of the digest that names a message, in hexadecimal digits. */
const digestLength = 32;

/** Options of {@link createFeatures}. */
export interface CreateFeaturesOptions {
  readonly service: ServiceName;
  /** Names all that the call requests. */
  readonly digest: string;
  /** The messages of a prompt; the last one is its own. */
  readonly messages?: readonly ChatMessage[];
}

/**
 * Creates the features of a call: its digest, and each message but the last; a message's digest is computed when it
 * is needed.
 *
 * @example
 * createFeatures({ service, digest, messages }).parts.length; //=> messages.length - 1
 */
export function createFeatures({
  service,
  digest,
  messages = [],
}: CreateFeaturesOptions): RequestFeatures {
  const content = digest as FeatureId;
  let parts: readonly FeatureId[] | undefined;
  return {
    service,
    content,
    known: [content],
    get parts() {
      return (parts ??= messages.slice(0, -1).map(nameMessage));
    },
  };
}

function nameMessage({ role, content }: ChatMessage): FeatureId {
  return digestText(JSON.stringify([role, content])).slice(0, digestLength) as FeatureId;
}
