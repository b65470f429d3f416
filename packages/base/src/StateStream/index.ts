import { Stream, type Scheduler, type Sink, type Source } from 'most';

/**
 * State that changes, as a `most` stream with a current value.
 *
 * A late subscriber receives the current value first, then each change. Every subscriber receives
 * every value: nothing is dropped or merged on the way.
 */
export class StateStream<Value> {
  #value: Value;
  readonly #sinks = new Set<{ sink: Sink<Value>; scheduler: Scheduler }>();

  /** The current value, then every change. */
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
   * Tells the current value and every change to a listener.
   *
   * @param onValue - called once a value
   * @param onError - called when the stream fails
   * @returns dispose of it to hear no more
   *
   * @example
   * const following = versions.follow((version) => log.info({ version }), fail);
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
   * Replaces the value and tells every subscriber.
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
