/**
 * Requests that share a part of their prompts which ends each upstream, and sound ones beside them, at a fleet on
 * virtual time.
 */
import {
  createRandom,
  type FeatureId,
  type Random,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { RequestFeatures, RequestQuarantine } from '@acaciacrank/callers';
import { QuarantineFleet, type QuarantineInstance } from '../QuarantineFleet/index.js';

/** A fleet that gets requests with deadly parts. */
export interface PartCase {
  readonly instances: number;
  /** Number of deadly parts. */
  readonly parts: number;
  /** Requests with one of them per second, in all. */
  readonly deadlyPerSecond: number;
  /** Share of the messages between any two instances that are lost. */
  readonly lossRatio: number;
  /** Whether the home of the service is gone, unknown to the others. */
  readonly isHomeGone: boolean;
  /** Upstreams that crash by themselves each second. */
  readonly crashesPerSecond: number;
}

/** What became of it. */
export interface PartResult {
  /** Upstreams that ended under requests with deadly parts, and under the part with the most. */
  readonly ends: number;
  readonly mostEnds: number;
  /** Time from the first end until the last part was blamed at all instances, in milliseconds. */
  readonly blamedMs: number | undefined;
  /** Requests with a deadly part that were sent to an upstream a window after its fifth end, or later. */
  readonly lateSends: number;
  readonly sound: number;
  /** Sound requests that were refused since they are suspect or blamed, in all and later than two windows. */
  readonly soundRefused: number;
  readonly soundRefusedLate: number;
  readonly messages: number;
  /** The most that one instance sent. */
  readonly mostOfOne: number;
}

const service = 'tutor' as ServiceName;
const durationMs = 20_000;
const windowMs = 3_000;
/** How long sound requests are sent before the first deadly one, in milliseconds. */
const warmUpMs = 2_000;
const soundPerSecond = 100;
const upstreamCount = 24;
/** How long requests run, and how long an ended upstream is away, in milliseconds. */
const timesMs = { deadly: 60, sound: 400, away: 1_500, probe: 20 } as const;
/** Upstreams that one request may be sent to. */
const maxSends = 3;

interface RunningRequest {
  readonly quarantine: RequestQuarantine;
  readonly features: RequestFeatures;
  readonly sentMs: number;
  isLost: boolean;
  reported: Promise<void>;
}

/** Plays one case. */
export class PartSimulation implements Disposable {
  readonly #case: PartCase;
  readonly #random: Random;
  readonly #fleet: QuarantineFleet;
  /** Requests that run at each upstream that is up. */
  readonly #running = new Map<UpstreamId, Set<RunningRequest>>();
  readonly #endsMs = new Map<FeatureId, number[]>();
  #runCount = 0;
  #requestCount = 0;
  #lateSends = 0;
  #sound = 0;
  #soundRefused = 0;
  #soundRefusedLate = 0;
  #blamedMs: number | undefined;

  constructor(partCase: PartCase, seed: number) {
    this.#case = partCase;
    this.#random = createRandom(seed);
    this.#fleet = new QuarantineFleet(partCase.instances);
    for (let index = 0; index < upstreamCount; index += 1) this.#startUpstream();
    for (const part of this.#deadlyParts) this.#endsMs.set(part, []);
  }

  async run(): Promise<PartResult> {
    this.#fleet.disturbLinks(service, this.#case);
    const { deadlyPerSecond, crashesPerSecond } = this.#case;
    const series = [
      this.#repeat(soundPerSecond, () => this.#send(this.#soundParts())),
      this.#repeatLater(deadlyPerSecond, () => this.#send(this.#mixedParts())),
      this.#repeat(crashesPerSecond, () => this.#crashOne()),
      this.#repeat(50, () => this.#noteBlame()),
    ];
    await this.#fleet.clock.runUntil(Promise.all(series));
    const sent = this.#fleet.instances.map(({ links }) => links.traffic.sentMessages);
    const ends = [...this.#endsMs.values()].map(({ length }) => length);
    return {
      ends: ends.reduce((sum, one) => sum + one, 0),
      mostEnds: Math.max(0, ...ends),
      blamedMs: this.#blamedMs,
      lateSends: this.#lateSends,
      sound: this.#sound,
      soundRefused: this.#soundRefused,
      soundRefusedLate: this.#soundRefusedLate,
      messages: sent.reduce((sum, one) => sum + one, 0),
      mostOfOne: Math.max(...sent),
    };
  }

  [Symbol.dispose](): void {
    this.#fleet[Symbol.dispose]();
  }

  get #deadlyParts(): FeatureId[] {
    return Array.from({ length: this.#case.parts }, (_, index) => `dead${index}` as FeatureId);
  }

  async #repeatLater(perSecond: number, task: () => unknown): Promise<void> {
    await this.#fleet.clock.sleep(warmUpMs);
    await this.#repeat(perSecond, task);
  }

  async #repeat(perSecond: number, task: () => unknown): Promise<void> {
    if (perSecond === 0) return;
    const endMs = this.#fleet.clock.monotonicMs() + durationMs;
    while (this.#fleet.clock.monotonicMs() < endMs) {
      await this.#fleet.clock.sleep((2 * this.#random() * 1_000) / perSecond);
      void task();
    }
  }

  /** Four accounts with eight documents each; the n-th deadly request shares both with sound ones. */
  #soundParts(): FeatureId[] {
    return [this.#name('account', 4), this.#name('document', 8)];
  }

  #mixedParts(): FeatureId[] {
    const deadly = this.#name('dead', this.#case.parts);
    return [this.#name('account', 4), deadly, this.#name('document', 8)];
  }

  #name(kind: string, count: number): FeatureId {
    return `${kind}${Math.floor(this.#random() * count)}` as FeatureId;
  }

  async #send(parts: readonly FeatureId[]): Promise<void> {
    this.#requestCount += 1;
    const content = `request-${this.#requestCount}` as FeatureId;
    const features = { service, parts, content, known: parts };
    const deadly = parts.find((part) => this.#endsMs.has(part));
    if (deadly === undefined) this.#sound += 1;
    const { quarantine } = this.#pick(this.#fleet.instances);
    for (let sends = 0; sends < maxSends; sends += 1) {
      const isAnswered = await this.#sendOnce(quarantine, features, deadly).catch(() => undefined);
      if (isAnswered === undefined && deadly === undefined) this.#noteSoundRefused();
      if (isAnswered !== false) return;
    }
  }

  /** Returns whether an upstream has answered; throws if the request is refused. */
  async #sendOnce(
    quarantine: RequestQuarantine,
    features: RequestFeatures,
    deadly: FeatureId | undefined,
  ): Promise<boolean> {
    const candidates = () => [...this.#running.keys()];
    const deadlineMs = this.#fleet.clock.monotonicMs() + 3_000;
    const suspect =
      !quarantine.suspects.isEmpty && quarantine.isSuspect(features)
        ? await quarantine.admit({ features, candidates, deadlineMs })
        : undefined;
    const upstream = suspect?.upstreamId ?? this.#pick(candidates());
    const running = this.#running.get(upstream);
    if (running === undefined) return false;
    if (deadly !== undefined) this.#noteSend(deadly);
    const sentMs = this.#fleet.clock.monotonicMs();
    const reported = Promise.resolve();
    const request: RunningRequest = { quarantine, features, sentMs, isLost: false, reported };
    running.add(request);
    await this.#fleet.clock.sleep(deadly === undefined ? timesMs.sound : timesMs.deadly);
    if (deadly !== undefined && !request.isLost) {
      this.#endsMs.get(deadly)?.push(this.#fleet.clock.monotonicMs());
      this.#end(upstream);
    }
    running.delete(request);
    if (request.isLost) await request.reported;
    else quarantine.recordAnswered(features);
    suspect?.finish(!request.isLost);
    return !request.isLost;
  }

  #noteSend(deadly: FeatureId): void {
    const fifthMs = this.#endsMs.get(deadly)?.[4] ?? Infinity;
    if (this.#fleet.clock.monotonicMs() > fifthMs + windowMs) this.#lateSends += 1;
  }

  #noteSoundRefused(): void {
    this.#soundRefused += 1;
    const firstMs = Math.min(...[...this.#endsMs.values()].map(([atMs = Infinity]) => atMs));
    if (this.#fleet.clock.monotonicMs() > firstMs + 2 * windowMs) this.#soundRefusedLate += 1;
  }

  #crashOne(): void {
    this.#end(this.#pick([...this.#running.keys()]));
  }

  /** All that runs there is lost; each instance finds that out a moment later, as a probe would. */
  #end(upstreamId: UpstreamId): void {
    const running = this.#running.get(upstreamId) ?? new Set();
    this.#running.delete(upstreamId);
    const lostMs = this.#fleet.clock.monotonicMs();
    for (const request of running) {
      request.isLost = true;
      request.reported = this.#report(request, upstreamId, lostMs);
    }
    void this.#fleet.clock.sleep(timesMs.away).then(() => {
      this.#startUpstream();
    });
  }

  async #report(request: RunningRequest, upstreamId: UpstreamId, lostMs: number): Promise<void> {
    await this.#fleet.clock.sleep(timesMs.probe);
    const { quarantine, features, sentMs } = request;
    await quarantine.recordCrash({ features, upstreamId, sentMs, lostMs, hasLivedOn: false });
  }

  #startUpstream(): void {
    this.#runCount += 1;
    this.#running.set(`u${this.#runCount}` as UpstreamId, new Set());
  }

  /** Notes when each instance refuses a request with any deadly part. */
  #noteBlame(): void {
    const firstMs = Math.min(...[...this.#endsMs.values()].map(([atMs = Infinity]) => atMs));
    if (this.#blamedMs !== undefined || firstMs === Infinity) return;
    const knows = ({ quarantine }: QuarantineInstance) =>
      this.#deadlyParts.every((part) =>
        quarantine.suspects.blamed.all().some(({ features }) => features.join() === part),
      );
    if (this.#fleet.instances.every(knows))
      this.#blamedMs = this.#fleet.clock.monotonicMs() - firstMs;
  }

  #pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)] as Item;
  }
}

/** Plays one case on virtual time. */
export async function simulateParts(partCase: PartCase, seed: number): Promise<PartResult> {
  using simulation = new PartSimulation(partCase, seed);
  return await simulation.run();
}
