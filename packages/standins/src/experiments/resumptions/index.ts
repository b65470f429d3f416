/**
 * How many broken streams their callers can take up elsewhere, and what that costs each stream in messages, by the
 * size of the fleet and by what has failed.
 */
import {
  createRandom,
  ManualClock,
  Metrics,
  type InstanceId,
  type Random,
  type ServiceName,
  type StreamKey,
  type UpstreamId,
} from '@acaciacrank/base';
import { FleetRpc } from '@acaciacrank/fleet';
import { StreamAffinity } from '@acaciacrank/forwarding';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import { MemoryNetwork, type MemoryFleetLinks } from '../../MemoryNetwork/index.js';
import type { ResultRow } from '../../printTable/index.js';

/** What has failed when callers take their streams up. */
export type ResumptionFailure = 'none' | 'oneEnded' | 'halfEnded' | 'halfCut' | 'lossy';

/** A fleet whose streams break. */
export interface ResumptionCase {
  readonly instances: number;
  readonly failure: ResumptionFailure;
  /** Streams that each instance begins. */
  readonly streamsPerInstance: number;
}

/** What became of it. */
export interface ResumptionResult {
  /** Number of streams that were taken up, and of those whose version was known where they were. */
  readonly takenUp: number;
  readonly known: number;
  /** Number of streams for which another version was found than the one that began them. */
  readonly mistaken: number;
  /** Messages and bytes before the failure, for each stream. */
  readonly messagesPerStream: number;
  readonly bytesPerStream: number;
  /** Messages of all instances after the failure, and the most that one instance received. */
  readonly questionMessages: number;
  readonly mostReceived: number;
  /** The most streams that one instance remembers. */
  readonly mostRemembered: number;
  /** The longest time that an answer took, in milliseconds. */
  readonly longestMs: number;
}

const service = 'tutor' as ServiceName;
const fleetSizes = [2, 28, 78, 390] as const;
const failures = ['none', 'oneEnded', 'halfEnded', 'halfCut', 'lossy'] as const;
const lossRatio = 0.05;
/** Time in which the streams begin, and until they break, in milliseconds. */
const times = { beginMs: 1_000, breakMs: 1_500, takeUpMs: 500 } as const;

/** Plays each size with each failure. */
export async function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const instances of fleetSizes) {
    for (const failure of failures) {
      const played = { instances, failure, streamsPerInstance: 11 };
      const result = await simulateResumptions(played, seed);
      const share = Math.round((1_000 * result.known) / Math.max(1, result.takenUp)) / 1_000;
      rows.push({ instances, failure, share, ...result });
    }
  }
  return rows;
}

/** Plays one case on virtual time. */
export async function simulateResumptions(
  resumptionCase: ResumptionCase,
  seed: number,
): Promise<ResumptionResult> {
  using simulation = new ResumptionSimulation(resumptionCase, createRandom(seed));
  return await simulation.run();
}

interface SimulatedInstance {
  readonly id: InstanceId;
  readonly links: MemoryFleetLinks;
  readonly affinity: StreamAffinity;
}

interface BegunStream {
  readonly key: StreamKey;
  readonly softwareVersion: string;
  readonly at: SimulatedInstance;
}

class ResumptionSimulation implements Disposable {
  readonly #case: ResumptionCase;
  readonly #random: Random;
  readonly #clock = new ManualClock();
  readonly #network: MemoryNetwork;
  readonly #instances: readonly SimulatedInstance[];
  readonly #streams: BegunStream[] = [];

  constructor(resumptionCase: ResumptionCase, random: Random) {
    this.#case = resumptionCase;
    this.#random = random;
    this.#network = new MemoryNetwork({ clock: this.#clock, seed: 7 });
    const ids = Array.from(
      { length: resumptionCase.instances },
      (_, index) => `instance-${index}` as InstanceId,
    );
    this.#instances = ids.map((id) => this.#createInstance(id, ids));
  }

  async run(): Promise<ResumptionResult> {
    if (this.#case.failure === 'lossy') this.#loseMessages();
    await this.#clock.runUntil(Promise.all(this.#instances.map((one) => this.#begin(one))));
    await this.#clock.advance(times.breakMs - times.beginMs);
    const before = this.#traffic();
    const gone = this.#fail();
    const usable = this.#instances.filter((one) => !gone.includes(one));
    const isEnded = this.#case.failure === 'oneEnded' || this.#case.failure === 'halfEnded';
    const broken = this.#streams.filter(({ at }) => !isEnded || gone.includes(at));
    const results = await this.#clock.runUntil(
      Promise.all(broken.map((stream) => this.#takeUp(stream, usable))),
    );
    const after = this.#traffic();
    const remembered = this.#instances.map(({ affinity }) => affinity.origins.size);
    const received = this.#instances.map(({ links }) => links.traffic.receivedMessages);
    return {
      takenUp: results.length,
      known: results.filter(({ isKnown }) => isKnown).length,
      mistaken: results.filter(({ isMistaken }) => isMistaken).length,
      messagesPerStream: round(before.messages / this.#streams.length),
      bytesPerStream: round(before.bytes / this.#streams.length),
      questionMessages: after.messages - before.messages,
      mostReceived: Math.max(...received),
      mostRemembered: Math.max(...remembered),
      longestMs: Math.max(0, ...results.map(({ elapsedMs }) => elapsedMs)),
    };
  }

  [Symbol.dispose](): void {
    for (const { affinity } of this.#instances) affinity[Symbol.dispose]();
  }

  #createInstance(id: InstanceId, ids: readonly InstanceId[]): SimulatedInstance {
    const links = this.#network.linksFor(id);
    const clock = this.#clock;
    const rpc = new FleetRpc({ links, clock });
    const options = { rpc, links, clock, metrics: new Metrics(), instanceId: id, live: () => ids };
    return { id, links, affinity: new StreamAffinity(options) };
  }

  #loseMessages(): void {
    for (const { id: from } of this.#instances)
      for (const { id: to } of this.#instances) this.#network.setLossRatio(from, to, lossRatio);
  }

  async #begin(at: SimulatedInstance): Promise<void> {
    const { streamsPerInstance } = this.#case;
    for (let count = 0; count < streamsPerInstance; count += 1) {
      await this.#clock.sleep(times.beginMs / streamsPerInstance);
      const softwareVersion = this.#random() < 0.5 ? 'v1' : 'v2';
      const key = `${at.id}/${count}` as StreamKey;
      const upstreamId = `u${Math.floor(this.#random() * 24)}` as UpstreamId;
      at.affinity.begin(key, { service, upstreamId, startedAtMs: 1, softwareVersion });
      this.#streams.push({ key, softwareVersion, at });
    }
  }

  /** Lets some instances fail, unknown to the others; returns those whom callers do not come to any more. */
  #fail(): readonly SimulatedInstance[] {
    const { failure } = this.#case;
    const half = this.#instances.filter((_, index) => index % 2 === 0);
    if (failure === 'halfCut') {
      const other = this.#instances.filter((_, index) => index % 2 === 1);
      this.#network.partition(
        half.map(({ id }) => id),
        other.map(({ id }) => id),
      );
      return [];
    }
    const ended =
      failure === 'oneEnded' ? this.#instances.slice(0, 1) : failure === 'halfEnded' ? half : [];
    for (const { id } of ended) this.#network.isolate(id);
    return ended;
  }

  async #takeUp(stream: BegunStream, usable: readonly SimulatedInstance[]) {
    await this.#clock.sleep(this.#random() * times.takeUpMs);
    const at = usable[Math.floor(this.#random() * usable.length)];
    const startedMs = this.#clock.monotonicMs();
    const found = await at?.affinity.find(stream.key);
    const softwareVersion = found?.run.softwareVersion;
    return {
      isKnown: softwareVersion !== undefined,
      isMistaken: softwareVersion !== undefined && softwareVersion !== stream.softwareVersion,
      elapsedMs: this.#clock.monotonicMs() - startedMs,
    };
  }

  #traffic(): { readonly messages: number; readonly bytes: number } {
    let messages = 0;
    let bytes = 0;
    for (const { links } of this.#instances) {
      messages += links.traffic.sentMessages;
      bytes += links.traffic.sentBytes;
    }
    return { messages, bytes };
  }
}

function round(value: number): number {
  return Math.round(100 * value) / 100;
}
