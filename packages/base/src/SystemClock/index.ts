import { Clock } from '../Clock/index.js';

/** The clocks and timers of this machine. */
export class SystemClock extends Clock {
  override wallMs(): number {
    return Date.now();
  }

  override monotonicMs(): number {
    return performance.now();
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
