/**
 * Change of this instance's in-flight requests at an upstream since the last load report was measured,
 * used to correct late reports.
 */

interface Change {
  readonly atWallMs: number;
  readonly by: 1 | -1;
}

/** Maximum number of retained changes; older ones are treated as if the report had counted them. */
const maxRetainedChanges = 2_048;

/** Counts started minus ended requests since the last report was measured. */
export class InFlightDelta {
  #changes: Change[] = [];
  #firstIndex = 0;
  #net = 0;

  /** Started minus ended requests since the last report was measured. */
  get net(): number {
    return this.#net;
  }

  /** Records that a request started (1) or ended (-1). */
  record(by: 1 | -1, atWallMs: number): void {
    this.#changes.push({ atWallMs, by });
    this.#net += by;
    if (this.#changes.length - this.#firstIndex > maxRetainedChanges) this.#dropFirst();
  }

  /** Discards the changes that a report measured at this time has already counted. */
  discardCounted(measuredAtMs: number): void {
    while ((this.#changes[this.#firstIndex]?.atWallMs ?? Infinity) <= measuredAtMs)
      this.#dropFirst();
    this.#changes = this.#changes.slice(this.#firstIndex);
    this.#firstIndex = 0;
  }

  #dropFirst(): void {
    this.#net -= this.#changes[this.#firstIndex]?.by ?? 0;
    this.#firstIndex += 1;
    if (this.#firstIndex < maxRetainedChanges) return;
    this.#changes = this.#changes.slice(this.#firstIndex);
    this.#firstIndex = 0;
  }
}
