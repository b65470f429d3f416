import { Clock } from '../Clock/index.js';
import { PauseMeter, pauseTickMs } from '../PauseMeter/index.js';

/** Pauses concern the whole process, so that its clocks share one meter; created on first use. */
let pauseMeter: PauseMeter | undefined;

function startPauseMeter(): PauseMeter {
  const meter = new PauseMeter(performance.now());
  // Does not keep the process from ending.
  setInterval(() => {
    meter.tick(performance.now());
  }, pauseTickMs).unref();
  return meter;
}

/** The clocks and timers of this machine. */
export class SystemClock extends Clock {
  override wallMs(): number {
    return Date.now();
  }

  override monotonicMs(): number {
    return performance.now();
  }

  override activeMs(): number {
    pauseMeter ??= startPauseMeter();
    return pauseMeter.activeMs(performance.now());
  }

  override unreadMs(): number {
    pauseMeter ??= startPauseMeter();
    return pauseMeter.unreadMs(performance.now());
  }

  override afterReads(task: () => void): void {
    // The first callback follows the reads of this turn of the event loop, the second one those of the next turn.
    setImmediate(() => {
      setImmediate(task);
    });
  }

  override schedule(delayMs: number, task: () => void): Disposable {
    const timer = setTimeout(task, Math.max(0, delayMs));
    return {
      [Symbol.dispose]: () => {
        clearTimeout(timer);
      },
    };
  }
}
