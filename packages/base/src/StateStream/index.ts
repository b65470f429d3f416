import { Stream, type Scheduler, type Sink, type Source } from 'most';

/**
 * An observable value: a `most` stream that also has a current value.
 *
 * A new subscriber receives the current value first, then each change. Every subscriber receives
 * every value: none are dropped or merged.
 */
export class StateStream<Value> {
  #value: Value;
  readonly #sinks = new Set<{ sink: Sink<Value>; scheduler: Scheduler }>();

  /** Emits the current value on subscription, then every change. */
  readonly changes: Stream<Value>;

  constructor(initial: Value) {
    this.#value = initial;
    const source: Source<Value> = {
      run: (sink, scheduler) => {
        const entry = { sink, scheduler };
        this.#sinks.add(entry);
        sink.event(scheduler.now(), this.#value);
        return { dispose: () => void this.#sinks.delete(entry) };
      },
    };
    this.changes = new Stream(source);
  }

  /** The current value. */
  get value(): Value {
    return this.#value;
  }

  /**
   * Calls a listener with the current value and with every change.
   *
   * @param onValue - called with each value
   * @param onError - called when the stream fails
   * @returns unsubscribes the listener on disposal
   *
   * @example
   * const subscription = versions.follow((version) => log.info({ version }), fail);
   */
  follow(onValue: (value: Value) => void, onError: (error: Error) => void): Disposable {
    const subscription = this.changes.subscribe({
      next: onValue,
      error: onError,
      complete: () => undefined,
    });
    return {
      [Symbol.dispose]: () => {
        subscription.unsubscribe();
      },
    };
  }

  /**
   * Replaces the value and notifies every subscriber.
   *
   * @param value - the new value
   *
   * @example
   * versions.set(8);
   */
  set(value: Value): void {
    this.#value = value;
    for (const { sink, scheduler } of this.#sinks) sink.event(scheduler.now(), value);
  }
}
