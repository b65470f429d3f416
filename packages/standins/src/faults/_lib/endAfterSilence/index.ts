import { RouterError, type ManualClock } from '@acaciacrank/base';
import type { Instance } from '@acaciacrank/router';

/** How long nothing may arrive before the mutated instance gives a request up, in milliseconds. */
const silenceLimitMs = 1_000;

/**
 * Mutates an instance so that it ends chat requests from whose upstream nothing has arrived for a second.
 *
 * @param instance - the instance
 * @param clock - the clock of the simulation
 *
 * @example
 * endAfterSilence(instance, clock);
 */
export function endAfterSilence({ chat }: Instance, clock: ManualClock): void {
  const run = chat.run.bind(chat);
  chat.run = async function* (call, signal) {
    const frames = run(call, signal)[Symbol.asyncIterator]();
    for (;;) {
      const silence = clock.sleep(silenceLimitMs).then((): never => {
        throw new RouterError('upstreamFailed', 'nothing came from the upstream for a second');
      });
      const next = await Promise.race([frames.next(), silence]);
      silence.catch(() => undefined);
      if (next.done === true) return;
      yield next.value;
    }
  };
}
