/** A pause of a process: it does nothing until the pause ends, and then continues where it was. */
export class ProcessPause {
  #count = 0;
  #waiting: (() => void)[] = [];

  /** Begins a pause; of several that overlap, the process continues after the last one. */
  begin(): void {
    this.#count += 1;
  }

  /** Ends a pause. */
  end(): void {
    this.#count -= 1;
    if (this.#count > 0) return;
    const resumed = this.#waiting;
    this.#waiting = [];
    for (const resume of resumed) resume();
  }

  /** Resolves when the process is not paused. */
  async whenResumed(): Promise<void> {
    if (this.#count === 0) return;
    await new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
  }
}
