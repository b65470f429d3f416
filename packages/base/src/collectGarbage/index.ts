import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** V8's collector; it collects everything without options. */
type Collector = (options?: { readonly type: 'minor' }) => void;

let collect: Collector | undefined;

/**
 * Collects what is not referenced any more, at once; released buffers are free when it returns. It takes some 20 ms.
 *
 * V8 collects by itself when its heap has grown, for which buffers hardly count: released ones stay until then.
 *
 * @example
 * if (getHeapStatistics().external_memory > maxBytes) collectGarbage();
 */
export function collectGarbage(): void {
  collect ??= findCollector();
  collect();
  // The memory of buffers is released by another thread, and counts until the next collection waits for that.
  collect({ type: 'minor' });
}

/**
 * Collects what was created a short while ago and is not referenced any more, at once. It takes some 3 ms.
 *
 * @example
 * collectYoungGarbage();
 */
export function collectYoungGarbage(): void {
  collect ??= findCollector();
  // The second one waits for the release of what the first one found.
  collect({ type: 'minor' });
  collect({ type: 'minor' });
}

/** V8 offers it only to scripts of a context that was created under this option. */
function findCollector(): Collector {
  setFlagsFromString('--expose-gc');
  const found = runInNewContext('gc') as Collector;
  setFlagsFromString('--no-expose-gc');
  return found;
}
