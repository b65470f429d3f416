import type { RouterError } from '@acaciacrank/base';
import { resultRanks, type Contender, type ResultRank, type Upstream } from '@acaciacrank/routing';
import type { ServiceResponse } from '@acaciacrank/upstreams';

/** The result of one attempt at one upstream. */
export type ServiceResult =
  | { readonly kind: 'answer'; readonly answer: ServiceResponse }
  | { readonly kind: 'failed'; readonly error: RouterError }
  | { readonly kind: 'superseded' };

/** One call at one upstream, which may run beside others of the same request until one has answered. */
export class ServiceAttempt implements Contender<ServiceResult> {
  readonly upstream: Upstream;
  readonly ended: Promise<ServiceResult>;
  readonly #superseded = new AbortController();

  /**
   * @param upstream - the upstream
   * @param call - makes the call, which ends when the signal is aborted
   */
  constructor(upstream: Upstream, call: (signal: AbortSignal) => Promise<ServiceResult>) {
    this.upstream = upstream;
    const { signal } = this.#superseded;
    this.ended = call(signal).then((result) => {
      return result.kind === 'failed' && signal.aborted ? { kind: 'superseded' } : result;
    });
  }

  supersede(): void {
    this.#superseded.abort();
  }
}

/** Status of a service that is temporarily unavailable; the call may have run nevertheless. */
const unavailableStatus = 503;

/** How much a result says of the request. */
export function rankOfResult(result: ServiceResult): ResultRank {
  switch (result.kind) {
    case 'answer':
      return result.answer.status === unavailableStatus ? resultRanks.held : resultRanks.final;
    case 'failed':
      return resultRanks.failure;
    case 'superseded':
      return resultRanks.superseded;
  }
}
