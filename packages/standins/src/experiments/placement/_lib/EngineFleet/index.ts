/**
 * Simulates, in virtual time, engines with slots and prefill, and the load reports that they send.
 */
import type { ReportedLoad } from '@acaciacrank/forwarding';

/** A request at an engine. */
export interface EngineRequest {
  /** Time to prefill the prompt if the engine has its shared part, in milliseconds. */
  readonly ownPrefillMs: number;
  /** Time to prefill the shared part, in milliseconds. */
  readonly sharedPrefillMs: number;
  readonly sharedPart: string;
  /** Time from the first event to the last, in milliseconds. */
  readonly streamMs: number;
  /** Called with the first event. */
  readonly onFirstEvent: (report: ReportedLoad) => void;
  readonly onEnd: () => void;
}

type Schedule = (delayMs: number, task: () => void) => void;

/** How much older than the response a report is, in milliseconds. */
const reportLagMs = 100;
const oneWayMs = 1;

/** An engine: requests wait for a slot, then are prefilled one after another, then stream. */
export class SimulatedEngine {
  readonly id: string;
  readonly #slots: number;
  readonly #schedule: Schedule;
  readonly #nowMs: () => number;
  readonly #waiting: EngineRequest[] = [];
  readonly #cachedParts = new Set<string>();
  #running = 0;
  #prefillFreeAtMs = 0;
  #reported: ReportedLoad;

  constructor(id: string, slots: number, schedule: Schedule, nowMs: () => number) {
    this.id = id;
    this.#slots = slots;
    this.#schedule = schedule;
    this.#nowMs = nowMs;
    this.#reported = { running: 0, waiting: 0, slots };
  }

  /** The load at this moment. */
  get load(): ReportedLoad {
    return { running: this.#running, waiting: this.#waiting.length, slots: this.#slots };
  }

  /** Time until the prompts that hold a slot are prefilled, in milliseconds. */
  get prefillBacklogMs(): number {
    return Math.max(0, this.#prefillFreeAtMs - this.#nowMs());
  }

  /** Sends a request, which arrives after the network's delay. */
  send(request: EngineRequest): void {
    this.#schedule(oneWayMs, () => {
      this.#waiting.push(request);
      this.#startNext();
      this.#noteLoad();
    });
  }

  #startNext(): void {
    if (this.#running >= this.#slots) return;
    const request = this.#waiting.shift();
    if (request === undefined) return;
    this.#running += 1;
    const isCached = this.#cachedParts.has(request.sharedPart);
    this.#cachedParts.add(request.sharedPart);
    const prefillMs = request.ownPrefillMs + (isCached ? 0 : request.sharedPrefillMs);
    this.#prefillFreeAtMs = Math.max(this.#nowMs(), this.#prefillFreeAtMs) + prefillMs;
    this.#schedule(this.prefillBacklogMs + oneWayMs, () => {
      request.onFirstEvent(this.#reported);
      this.#schedule(request.streamMs, () => {
        this.#running -= 1;
        this.#noteLoad();
        request.onEnd();
        this.#startNext();
      });
    });
  }

  #noteLoad(): void {
    const { load } = this;
    this.#schedule(reportLagMs, () => {
      this.#reported = load;
    });
  }
}
