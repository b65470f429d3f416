/**
 * Blocks the event loop of this thread, for tests. As after a stop of the process, timers that are due meanwhile run
 * before sockets are read.
 *
 * @param durationMs - for how long, in milliseconds
 *
 * @example
 * await blockEventLoop(1_500);
 */
export function blockEventLoop(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    // Timers follow the callbacks of `setImmediate`; after those of other timers, sockets would be read first.
    setImmediate(() => {
      const nothing = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
      Atomics.wait(nothing, 0, 0, durationMs);
      resolve();
    });
  });
}
