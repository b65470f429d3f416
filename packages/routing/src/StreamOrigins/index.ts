import type { Clock, StreamKey } from '@acaciacrank/base';
import type { UpstreamRun } from '../mayContinueStream/index.js';

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  clock: Clock;
  /** Maximum number of streams that are remembered; 65,536 by default. */
  maxStreams?: number;
}

/** For how long a stream is remembered after its first event, in milliseconds: longer than callers wait for one. */
const retentionMs = 120_000;
const defaultMaxStreams = 65_536;

interface Entry {
  readonly run: UpstreamRun;
  readonly atMs: number;
}

/**
 * The runs of upstreams that began streams. What began a stream decides who may continue with it
 * (`mayContinueStream`), whichever instance its caller returns to.
 *
 * A key for which two versions are reported names no single stream: its version is then not known.
 *
 * @example
 * origins.record(stream, upstream.run);
 * origins.get(stream)?.softwareVersion;
 */
export class StreamOrigins {
  readonly #clock: Clock;
  readonly #maxStreams: number;
  /** The oldest first. */
  readonly #entries = new Map<StreamKey, Entry>();

  constructor({ clock, maxStreams = defaultMaxStreams }: StreamOriginsOptions) {
    this.#clock = clock;
    this.#maxStreams = maxStreams;
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /** Records which run sent the first event of a stream. */
  record(stream: StreamKey, run: UpstreamRun): void {
    const known = this.get(stream);
    this.#entries.delete(stream);
    const isAmbiguous = known !== undefined && !isSameSoftware(known, run);
    const kept = isAmbiguous ? { ...run, startedAtMs: undefined, softwareVersion: undefined } : run;
    this.#entries.set(stream, { run: kept, atMs: this.#clock.monotonicMs() });
    this.#discardOld();
  }

  /** The run that sent the first event; undefined if that is not known. */
  get(stream: StreamKey): UpstreamRun | undefined {
    const entry = this.#entries.get(stream);
    return entry === undefined || this.#isExpired(entry) ? undefined : entry.run;
  }

  #discardOld(): void {
    for (const [stream, entry] of this.#entries) {
      if (this.#entries.size <= this.#maxStreams && !this.#isExpired(entry)) return;
      this.#entries.delete(stream);
    }
  }

  #isExpired({ atMs }: Entry): boolean {
    return this.#clock.monotonicMs() - atMs >= retentionMs;
  }
}

function isSameSoftware(one: UpstreamRun, other: UpstreamRun): boolean {
  return one.service === other.service && one.softwareVersion === other.softwareVersion;
}
