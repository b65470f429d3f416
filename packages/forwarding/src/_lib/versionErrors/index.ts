import { RouterError } from '@acaciacrank/base';
import type { UpstreamRun } from '@acaciacrank/routing';

/** Returns the error for a stream of which no instance that can be queried knows what began it. */
export function createVersionUnknownError(): RouterError {
  return new RouterError('streamVersionUnknown', 'it is not known which version began the stream');
}

/** Returns the error for a stream that no upstream may continue with. */
export function createVersionGoneError({ service, softwareVersion }: UpstreamRun): RouterError {
  if (softwareVersion === undefined) return createVersionUnknownError();
  const what = `no upstream of ${service} runs version ${softwareVersion}, which began the stream`;
  return new RouterError('streamVersionGone', what);
}
