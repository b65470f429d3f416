import {
  describeError,
  DisposableStore,
  millisecondsInSecond,
  RouterError,
  StateStream,
  withTimeout,
  type Clock,
  type InstanceId,
  type Random,
} from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import type { CompiledEnvironment } from '../compileEnvironment/index.js';
import {
  OrderedConfigurationObjects,
  StoreConfigurationObjects,
  type ConfigurationObjects,
} from '../ConfigurationObjects/index.js';
import { nodesOf } from '../configurationTree/index.js';
import { EnvironmentIndex } from '../EnvironmentIndex/index.js';
import { loadConfiguration } from '../loadConfiguration/index.js';
import { manifestKey, parseManifest, type Manifest } from '../manifest/index.js';
import { isTrial, recordTrialRun } from '../trialRuns/index.js';

/** A configuration version that this instance acts on. */
export interface ConfigurationInForce {
  readonly version: number;
  readonly digest: string;
  readonly index: EnvironmentIndex;
  /** When this instance began to act on it, in milliseconds since 1970. */
  readonly sinceMs: number;
  /** What peers are given; see {@link ConfigurationWatcher.offer}. */
  readonly manifest: Manifest;
  readonly compiled: CompiledEnvironment;
}

/** A version that this instance knows of and could not take up. */
export interface ConfigurationProblem {
  /** undefined when even the version could not be read. */
  readonly version: number | undefined;
  readonly message: string;
  readonly sinceMs: number;
}

/** Options of {@link ConfigurationWatcher}. */
export interface ConfigurationWatcherOptions {
  store: ObjectStore;
  clock: Clock;
  environment: string;
  /** Names this instance in the record of what trial ran. */
  instanceId?: InstanceId;
  /** Objects that peers have; asked when the store does not answer. */
  peers?: ConfigurationObjects;
  random?: Random;
  /** How often the manifest is read besides the watch, in milliseconds. */
  pollMs?: number;
  /** How long one read may take, in milliseconds. */
  readTimeoutMs?: number;
  /** How long a watch may say nothing before it is taken for dead, in milliseconds. */
  watchTimeoutMs?: number;
  /** How long to wait after a failure, in milliseconds. */
  retryMs?: number;
  /**
   * Whether an instance that just started may begin with a peer's version while the store is down.
   * False holds the rule that an instance never acts on a lower version than in its former life.
   */
  mayStartFromPeers?: boolean;
  /** How long peers' versions are gathered before the highest is begun with, in milliseconds. */
  peerSettleMs?: number;
}

const defaults = {
  // Poll, one timeout, and a second read after it stay well below the 10 s that a change may take.
  pollMs: 4 * millisecondsInSecond,
  readTimeoutMs: 2 * millisecondsInSecond,
  watchTimeoutMs: 25 * millisecondsInSecond,
  retryMs: millisecondsInSecond,
  peerSettleMs: 3 * millisecondsInSecond,
};

/** The longest that one read of the manifest may come to take, in milliseconds. */
const longestReadTimeoutMs = 12_000;

/** The longest wait between two attempts to confirm the first read, in milliseconds. */
const longestConfirmBackOffMs = 2_000;

/**
 * Follows an environment's manifest, from the store and from peers.
 *
 * - Versions only rise. A read that lags behind, from a cache or a healed partition, shows as a
 *   version no higher than the one in force and is dropped.
 * - A new version is loaded whole, only what changed is fetched, and it comes into force in one step
 *   or not at all; until then the old one stays in force.
 * - A watch whose connection fell silent for good never answers and never fails. Its time is
 *   bounded, and a slow poll that does not depend on it finds the change meanwhile.
 */
export class ConfigurationWatcher implements AsyncDisposable {
  /** What is in force; undefined until the first version was read. */
  readonly inForce = new StateStream<ConfigurationInForce | undefined>(undefined);
  readonly #options: ConfigurationWatcherOptions & typeof defaults;
  readonly #objects: ConfigurationObjects;
  readonly #owned = new DisposableStore();
  readonly #stop = new AbortController();
  #problem: ConfigurationProblem | undefined;
  /** The highest version offered; loaded when it is higher than the one in force. */
  #offered: Manifest | undefined;
  #loading: Promise<void> | undefined;
  #mayBegin = false;
  #recordedDigest: string | undefined;
  /** What attempts that failed have read; emptied when a version comes into force. */
  readonly #fetched = new Map<string, string>();
  #readTimeoutMs: number;
  #texts: { readonly digest: string; readonly byDigest: ReadonlyMap<string, string> } | undefined;

  constructor(options: ConfigurationWatcherOptions) {
    this.#options = { ...defaults, ...options };
    this.#readTimeoutMs = this.#options.readTimeoutMs;
    const { store, clock, environment, peers } = options;
    const stored = new StoreConfigurationObjects(store, environment);
    const sources = peers === undefined ? [stored] : [stored, peers];
    this.#objects = new OrderedConfigurationObjects({ sources, clock });
  }

  /** A version that is known of and could not be taken up; undefined when there is none. */
  get problem(): ConfigurationProblem | undefined {
    return this.#problem;
  }

  /**
   * Reads what is in force, then follows changes until disposed of.
   *
   * It returns after the first attempt, also when the store is down: the instance then has no
   * configuration, takes no work, and goes on trying.
   */
  async start(): Promise<void> {
    await this.#begin().catch((error: unknown) => {
      this.#note(undefined, error);
    });
    // Neither is waited for at the end: a watch that fell silent would hold up a planned stop.
    void this.#followWatch();
    void this.#poll();
  }

  /**
   * Reads the manifest once, and takes up what is new.
   *
   * @throws RouterError `storeUnavailable` or `badDocument`
   */
  async refresh(): Promise<void> {
    if (!this.#mayBegin) {
      await this.#begin();
      return;
    }
    const stored = await this.#read();
    if (stored !== undefined) await this.#take(parseManifest(stored.value));
  }

  /**
   * Takes up what a peer has, when it is newer than what is in force here.
   *
   * @param value - the peer's `inForce.manifest`, as it came over the link
   * @returns whether it came into force; false also when it is held until the first read
   *
   * @example
   * await watcher.offer(reply.manifest);
   */
  async offer(value: unknown): Promise<boolean> {
    try {
      const manifest = parseManifest(value);
      if (!this.#isNewer(manifest)) return false;
      if (!this.#mayBegin && this.#offered === undefined) this.#scheduleBeginFromPeers();
      await this.#take(manifest);
      return this.inForce.value?.version === manifest.version;
    } catch (error) {
      this.#note(undefined, error);
      return false;
    }
  }

  /**
   * The text of an object of the version in force, for peers that cannot reach the store.
   *
   * @returns undefined when this instance does not have it
   */
  objectText(digest: string): string | undefined {
    const { value } = this.inForce;
    if (value === undefined) return undefined;
    if (this.#texts?.digest !== value.digest) {
      this.#texts = { digest: value.digest, byDigest: textsOf(value.compiled) };
    }
    return this.#texts.byDigest.get(digest);
  }

  /**
   * What is in force.
   *
   * @throws RouterError `storeUnavailable` before the first configuration was read
   */
  current(): ConfigurationInForce {
    const current = this.inForce.value;
    if (current !== undefined) return current;
    throw new RouterError('storeUnavailable', 'no configuration has been read yet');
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#owned.dispose();
  }

  /**
   * The first read of this life, which must not lag.
   *
   * An instance that restarts does not remember what it acted on. A read answered from a cache would
   * take it back to a lower version. So the manifest that was read is written back as it is, on the
   * condition that nobody has written since: the store answers a conditional write from what is
   * true, so only a read that was up to date passes.
   */
  async #begin(): Promise<void> {
    const { store, clock, environment, random = Math.random } = this.#options;
    let backOffMs = 50;
    while (!this.#stop.signal.aborted) {
      const stored = await this.#read();
      if (stored === undefined) return;
      const manifest = parseManifest(stored.value);
      const condition = { kind: 'version', version: stored.version } as const;
      const key = manifestKey(environment);
      const result = await withTimeout(
        clock,
        longestReadTimeoutMs,
        () => store.write(key, stored.value, condition),
        { kind: 'storeUnavailable', what: 'confirming the manifest' },
      );
      if (result.outcome === 'written') {
        this.#mayBegin = true;
        await this.#take(manifest);
        return;
      }
      await clock.sleep(random() * backOffMs, this.#stop.signal);
      backOffMs = Math.min(longestConfirmBackOffMs, backOffMs * 2);
    }
  }

  /** Several peers may answer, some of them behind: the highest within a while is begun with. */
  #scheduleBeginFromPeers(): void {
    const { clock, mayStartFromPeers = false, peerSettleMs } = this.#options;
    if (!mayStartFromPeers) return;
    const timer = clock.schedule(peerSettleMs, () => {
      this.#mayBegin = true;
      if (this.#offered !== undefined) void this.offer(this.#offered);
    });
    this.#owned.add(timer);
  }

  /** A store that is slow, not down, would fail for ever by a fixed bound: it grows while it fails. */
  async #read(): Promise<StoredObject | undefined> {
    const { store, clock, environment, readTimeoutMs } = this.#options;
    const limit = { kind: 'storeUnavailable', what: 'reading the manifest' } as const;
    const read = () => store.read(manifestKey(environment));
    try {
      const stored = await withTimeout(clock, this.#readTimeoutMs, read, limit);
      this.#readTimeoutMs = readTimeoutMs;
      return stored;
    } catch (error) {
      this.#readTimeoutMs = Math.min(longestReadTimeoutMs, 2 * this.#readTimeoutMs);
      throw error;
    }
  }

  #isNewer(manifest: Manifest): boolean {
    const { environment } = this.#options;
    if (manifest.environment !== environment) {
      throw new RouterError(
        'badDocument',
        `a manifest of ${manifest.environment} was offered to ${environment}`,
      );
    }
    return manifest.version > (this.inForce.value?.version ?? 0);
  }

  /** Loads the highest version offered; one load at a time, whoever offers. */
  async #take(manifest: Manifest): Promise<void> {
    if (!this.#isNewer(manifest)) return;
    if (manifest.version > (this.#offered?.version ?? 0)) this.#offered = manifest;
    if (!this.#mayBegin) return;
    this.#loading ??= this.#loadOffered().finally(() => {
      this.#loading = undefined;
    });
    await this.#loading;
  }

  async #loadOffered(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const manifest = this.#offered;
      if (manifest === undefined || !this.#isNewer(manifest)) return;
      try {
        const known = this.inForce.value?.compiled;
        const fetched = this.#fetched;
        const compiled = await loadConfiguration(this.#objects, manifest.root, { known, fetched });
        this.#fetched.clear();
        this.#putInForce(manifest, compiled);
      } catch (error) {
        // A higher version may have been offered meanwhile, and its objects be there.
        if (this.#offered === manifest) throw error;
      }
    }
  }

  #putInForce(manifest: Manifest, compiled: CompiledEnvironment): void {
    if (this.#stop.signal.aborted) return;
    const { version, digest } = manifest;
    const sinceMs = this.#options.clock.wallMs();
    const index = new EnvironmentIndex(compiled);
    this.#problem = undefined;
    this.inForce.set({ version, digest, index, sinceMs, manifest, compiled });
    void this.#recordTrialRun();
  }

  /** Promotion to production asks whether an instance of trial acted on the bytes. */
  async #recordTrialRun(): Promise<void> {
    const { store, clock, environment, instanceId } = this.#options;
    const { value } = this.inForce;
    if (!isTrial(environment) || value === undefined) return;
    if (this.#recordedDigest === value.digest) return;
    const run = {
      instanceId: instanceId ?? 'unnamed',
      version: value.version,
      atMs: clock.wallMs(),
    };
    try {
      await recordTrialRun(store, environment, value.digest, run);
      this.#recordedDigest = value.digest;
    } catch (error) {
      this.#note(value.version, error);
    }
  }

  #note(version: number | undefined, thrown: unknown): void {
    const { message } = describeError(thrown);
    if (this.#problem?.message === message && this.#problem.version === version) return;
    this.#problem = { version, message, sinceMs: this.#options.clock.wallMs() };
  }

  async #poll(): Promise<void> {
    const { clock, pollMs, retryMs } = this.#options;
    let waitMs = pollMs;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(waitMs, this.#stop.signal);
      if (this.#stop.signal.aborted) return;
      waitMs = (await this.#tryAgain()) ? pollMs : retryMs;
    }
  }

  async #tryAgain(): Promise<boolean> {
    let isRead = true;
    try {
      await this.refresh();
      if (this.#problem?.version === undefined) this.#problem = undefined;
    } catch (error) {
      isRead = false;
      this.#note(this.#offered?.version, error);
    }
    // The store may be down and a peer have what an earlier attempt lacked.
    const offered = this.#offered;
    if (!isRead && offered !== undefined) {
      await this.#take(offered).catch((error: unknown) => {
        this.#note(offered.version, error);
      });
    }
    await this.#recordTrialRun();
    return isRead;
  }

  async #followWatch(): Promise<void> {
    const { clock, retryMs } = this.#options;
    let revision = 0;
    while (!this.#stop.signal.aborted) {
      try {
        const startedMs = clock.monotonicMs();
        const seen = await this.#watchOnce(revision);
        // A store that answers a watch at once and without news would be asked again without end:
        // it shows as a process that is busy and does nothing else. A watch that waited is not slowed.
        const isIdle = seen === revision && clock.monotonicMs() - startedMs < retryMs;
        if (isIdle) await clock.sleep(retryMs, this.#stop.signal);
        revision = seen;
      } catch (error) {
        // Changes that the store dropped are not to be had: begin with all that is there.
        if (describeError(error).kind === 'historyGone') revision = 0;
        this.#note(this.#offered?.version, error);
        await clock.sleep(retryMs, this.#stop.signal);
      }
    }
  }

  async #watchOnce(sinceRevision: number): Promise<number> {
    const { store, clock, environment, watchTimeoutMs } = this.#options;
    const { changes, revision } = await withTimeout(
      clock,
      watchTimeoutMs,
      (signal) => store.watch(manifestKey(environment), sinceRevision, signal),
      { kind: 'storeUnavailable', what: 'watching the manifest', signal: this.#stop.signal },
    );
    // Until the first read is confirmed, a change only says that it is time to read.
    if (!this.#mayBegin && changes.length > 0) await this.refresh();
    for (const change of changes) {
      if (change.object !== undefined) await this.#take(parseManifest(change.object.value));
    }
    return revision;
  }
}

function textsOf(compiled: CompiledEnvironment): Map<string, string> {
  const texts = new Map([[compiled.root.settings, compiled.settingsText]]);
  for (const tree of [compiled.accounts, compiled.keys]) {
    for (const node of nodesOf(tree)) texts.set(node.digest, node.text);
  }
  return texts;
}
