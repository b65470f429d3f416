/** When an upstream was last heard of. */
export interface UpstreamActivity {
  /** Time since anything was received from it, in milliseconds; infinite if nothing ever was. */
  readonly sinceReceivedMs: number;
  /** How long the request that waits longest there has received nothing, in milliseconds; 0 if none waits. */
  readonly longestWaitMs: number;
}

/** How many upstreams of a service were heard of lately, and how many should have been. */
export interface ServiceSilence {
  readonly speaking: number;
  readonly silent: number;
}

/**
 * Counts the upstreams that have sent something lately, and those that have not although requests wait there.
 * Upstreams without requests say nothing and count as neither.
 *
 * @param upstreams - the upstreams of one service
 * @param limitMs - from which time on no sign of life is silence, in milliseconds
 *
 * @example
 * measureSilence([{ sinceReceivedMs: 900, longestWaitMs: 950 }], 500);
 * //=> { speaking: 0, silent: 1 }
 */
export function measureSilence(
  upstreams: Iterable<UpstreamActivity>,
  limitMs: number,
): ServiceSilence {
  let speaking = 0;
  let silent = 0;
  for (const activity of upstreams) {
    if (activity.sinceReceivedMs < limitMs) speaking += 1;
    else if (isSilent(activity, limitMs)) silent += 1;
  }
  return { speaking, silent };
}

/** Whether requests wait at an upstream and nothing arrives from it. */
export function isSilent({ sinceReceivedMs, longestWaitMs }: UpstreamActivity, limitMs: number) {
  return sinceReceivedMs >= limitMs && longestWaitMs >= limitMs;
}
