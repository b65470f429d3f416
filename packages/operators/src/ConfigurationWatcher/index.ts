import {
  toRouterError,
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
  FailoverConfigurationObjects,
  StoreConfigurationObjects,
  type ConfigurationObjects,
} from '../ConfigurationObjects/index.js';
import { nodesOf } from '../configurationTree/index.js';
import { EnvironmentIndex } from '../EnvironmentIndex/index.js';
import { loadConfiguration } from '../loadConfiguration/index.js';
import { manifestKey, parseManifest, type Manifest } from '../manifest/index.js';
import { isTrialEnvironment, recordTrialRun } from '../trialRuns/index.js';

/** The configuration version that this instance uses. */
export interface ConfigurationInForce {
  readonly version: number;
  readonly digest: string;
  readonly index: EnvironmentIndex;
  /** When this instance began to use it, in milliseconds since 1970. */
  readonly sinceMs: number;
  /** Sent to peers, which pass it to {@link ConfigurationWatcher.offer}. */
  readonly manifest: Manifest;
  readonly compiled: CompiledEnvironment;
}

/** A failure to read, load or record a configuration version. */
export interface ConfigurationProblem {
  /** undefined if the version could not be determined. */
  readonly version: number | undefined;
  readonly message: string;
  readonly sinceMs: number;
}

/** Options of {@link ConfigurationWatcher}. */
export interface ConfigurationWatcherOptions {
  store: ObjectStore;
  clock: Clock;
  environment: string;
  /** The id written to the trial run record. */
  instanceId?: InstanceId;
  /** Reads objects from peers; used when the store does not answer. */
  peers?: ConfigurationObjects;
  random?: Random;
  /** Interval at which the manifest is polled in addition to the watch, in milliseconds. */
  pollMs?: number;
  /** Initial timeout of one read of the manifest, in milliseconds; grows while reads fail. */
  readTimeoutMs?: number;
  /** How long a watch may go without a response before it is considered dead, in milliseconds. */
  watchTimeoutMs?: number;
  /** Delay after a failure, in milliseconds. */
  retryMs?: number;
  /**
   * Whether an instance that has just started may use a peer's version while the store is down.
   * With false, an instance never uses a lower version after a restart than it did before.
   */
  mayStartFromPeers?: boolean;
  /** How long to collect versions from peers before starting with the highest, in milliseconds. */
  peerSettleMs?: number;
}

const defaults = {
  // One poll interval, one timed-out read and a second read together stay well below the 10 s within
  // which a change must take effect.
  pollMs: 4 * millisecondsInSecond,
  readTimeoutMs: 2 * millisecondsInSecond,
  watchTimeoutMs: 25 * millisecondsInSecond,
  retryMs: millisecondsInSecond,
  peerSettleMs: 3 * millisecondsInSecond,
};

/** Upper bound of the growing read timeout, in milliseconds. */
const maxReadTimeoutMs = 12_000;

/** Upper bound of the back-off between two attempts to confirm the first read, in milliseconds. */
const maxConfirmBackOffMs = 2_000;

/**
 * Follows an environment's manifest, in the store and through peers.
 *
 * - Versions only increase. A stale read, from a cache or after a partition, returns a version that
 *   is not higher than the one in force and is ignored.
 * - Only the changed objects of a new version are fetched. It is put in force atomically once it is
 *   complete; until then the old version stays in force.
 * - A watch on a half-open connection neither returns nor fails. It therefore has a timeout, and an
 *   independent, slower poll finds changes in the meantime.
 */
export class ConfigurationWatcher implements AsyncDisposable {
  /** The configuration in force; undefined until the first version has been loaded. */
  readonly inForce = new StateStream<ConfigurationInForce | undefined>(undefined);
  readonly #options: ConfigurationWatcherOptions & typeof defaults;
  readonly #objects: ConfigurationObjects;
  readonly #disposables = new DisposableStore();
  readonly #stop = new AbortController();
  #problem: ConfigurationProblem | undefined;
  /** The highest version seen so far, in the store or from peers. */
  #highestOffered: Manifest | undefined;
  #activeLoad: Promise<void> | undefined;
  /** Whether versions may be loaded: after the first confirmed read, or after the start from peers. */
  #isActivationAllowed = false;
  /** Digest of the last document whose trial run has been recorded. */
  #recordedDigest: string | undefined;
  /** Object texts by digest, kept from failed loads; cleared after a successful load. */
  readonly #fetchedTexts = new Map<string, string>();
  #readTimeoutMs: number;
  #textCache:
    { readonly digest: string; readonly byDigest: ReadonlyMap<string, string> } | undefined;

  constructor(options: ConfigurationWatcherOptions) {
    this.#options = { ...defaults, ...options };
    this.#readTimeoutMs = this.#options.readTimeoutMs;
    const { store, clock, environment, peers } = options;
    const stored = new StoreConfigurationObjects(store, environment);
    const sources = peers === undefined ? [stored] : [stored, peers];
    this.#objects = new FailoverConfigurationObjects({ sources, clock });
  }

  /** The current failure to read, load or record a version; undefined if there is none. */
  get problem(): ConfigurationProblem | undefined {
    return this.#problem;
  }

  /**
   * Loads the current configuration, then follows changes until disposed.
   *
   * Returns after the first attempt even if the store is down. The instance then has no
   * configuration and accepts no requests, and the watcher keeps retrying.
   */
  async start(): Promise<void> {
    await this.#startFromConfirmedRead().catch((error: unknown) => {
      this.#recordProblem(undefined, error);
    });
    // Disposal does not await these loops: a watch without a response would delay a planned stop.
    void this.#runWatchLoop();
    void this.#runPollLoop();
  }

  /**
   * Reads the manifest once and loads its version if it is newer than the one in force.
   *
   * @throws RouterError `storeUnavailable`, `badDocument`, or as {@link loadConfiguration}
   */
  async refresh(): Promise<void> {
    if (!this.#isActivationAllowed) {
      await this.#startFromConfirmedRead();
      return;
    }
    const stored = await this.#read();
    if (stored !== undefined) await this.#loadIfNewer(parseManifest(stored.value));
  }

  /**
   * Loads the version of a peer's manifest if it is newer than the one in force here. Errors are
   * not thrown but recorded in {@link problem}.
   *
   * @param value - the peer's `inForce.manifest`, as received
   * @returns whether that version is now in force; false if it is kept until the first confirmed read
   *
   * @example
   * await watcher.offer(reply.manifest);
   */
  async offer(value: unknown): Promise<boolean> {
    try {
      const manifest = parseManifest(value);
      if (!this.#isNewer(manifest)) return false;
      if (!this.#isActivationAllowed && this.#highestOffered === undefined)
        this.#scheduleStartFromPeers();
      await this.#loadIfNewer(manifest);
      return this.inForce.value?.version === manifest.version;
    } catch (error) {
      this.#recordProblem(undefined, error);
      return false;
    }
  }

  /**
   * Returns the text of an object of the version in force, for peers that cannot reach the store.
   *
   * @returns the text; undefined if the version in force does not contain the object
   */
  objectText(digest: string): string | undefined {
    const { value } = this.inForce;
    if (value === undefined) return undefined;
    if (this.#textCache?.digest !== value.digest) {
      this.#textCache = { digest: value.digest, byDigest: collectTexts(value.compiled) };
    }
    return this.#textCache.byDigest.get(digest);
  }

  /**
   * Returns the configuration in force.
   *
   * @throws RouterError `storeUnavailable` if no configuration has been loaded yet
   */
  current(): ConfigurationInForce {
    const current = this.inForce.value;
    if (current !== undefined) return current;
    throw new RouterError('storeUnavailable', 'no configuration has been read yet');
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#disposables.dispose();
  }

  /**
   * Performs the first read after start-up, which must not be stale, and loads its version.
   *
   * After a restart, an instance does not know which version it used before, and a stale read from a
   * cache would take it back to a lower one. The manifest is therefore written back unchanged with a
   * compare-and-swap. The store checks the condition against its current state, so the write
   * succeeds only if the read was up to date.
   */
  async #startFromConfirmedRead(): Promise<void> {
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
        maxReadTimeoutMs,
        () => store.write(key, stored.value, condition),
        { kind: 'storeUnavailable', what: 'confirming the manifest' },
      );
      if (result.outcome === 'written') {
        this.#isActivationAllowed = true;
        await this.#loadIfNewer(manifest);
        return;
      }
      await clock.sleep(random() * backOffMs, this.#stop.signal);
      backOffMs = Math.min(maxConfirmBackOffMs, backOffMs * 2);
    }
  }

  /** Waits before starting from peers, because some may lag: the highest version received is used. */
  #scheduleStartFromPeers(): void {
    const { clock, mayStartFromPeers = false, peerSettleMs } = this.#options;
    if (!mayStartFromPeers) return;
    const timer = clock.schedule(peerSettleMs, () => {
      this.#isActivationAllowed = true;
      if (this.#highestOffered !== undefined) void this.offer(this.#highestOffered);
    });
    this.#disposables.add(timer);
  }

  /** The timeout doubles with each failure: a fixed one would never let a slow store succeed. */
  async #read(): Promise<StoredObject | undefined> {
    const { store, clock, environment, readTimeoutMs } = this.#options;
    const timeoutOptions = { kind: 'storeUnavailable', what: 'reading the manifest' } as const;
    const read = () => store.read(manifestKey(environment));
    try {
      const stored = await withTimeout(clock, this.#readTimeoutMs, read, timeoutOptions);
      this.#readTimeoutMs = readTimeoutMs;
      return stored;
    } catch (error) {
      this.#readTimeoutMs = Math.min(maxReadTimeoutMs, 2 * this.#readTimeoutMs);
      throw error;
    }
  }

  #isNewer(manifest: Manifest): boolean {
    const { environment } = this.#options;
    if (manifest.environment !== environment) {
      throw new RouterError(
        'badDocument',
        `received a manifest of environment ${manifest.environment} instead of ${environment}`,
      );
    }
    return manifest.version > (this.inForce.value?.version ?? 0);
  }

  /** Remembers a newer manifest and loads the highest version; loads never run concurrently. */
  async #loadIfNewer(manifest: Manifest): Promise<void> {
    if (!this.#isNewer(manifest)) return;
    if (manifest.version > (this.#highestOffered?.version ?? 0)) this.#highestOffered = manifest;
    if (!this.#isActivationAllowed) return;
    this.#activeLoad ??= this.#loadOffered().finally(() => {
      this.#activeLoad = undefined;
    });
    await this.#activeLoad;
  }

  async #loadOffered(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const manifest = this.#highestOffered;
      if (manifest === undefined || !this.#isNewer(manifest)) return;
      try {
        const reuseFrom = this.inForce.value?.compiled;
        const fetchedTexts = this.#fetchedTexts;
        const compiled = await loadConfiguration(this.#objects, manifest.root, {
          reuseFrom,
          fetchedTexts,
        });
        this.#fetchedTexts.clear();
        this.#putInForce(manifest, compiled);
      } catch (error) {
        // A higher version may have arrived in the meantime; try to load that one.
        if (this.#highestOffered === manifest) throw error;
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

  /** Records that this trial instance uses the document, which promotion to production requires. */
  async #recordTrialRun(): Promise<void> {
    const { store, clock, environment, instanceId } = this.#options;
    const { value } = this.inForce;
    if (!isTrialEnvironment(environment) || value === undefined) return;
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
      this.#recordProblem(value.version, error);
    }
  }

  /** The version that is known but not in force yet; undefined if there is none. */
  get #pendingVersion(): number | undefined {
    const offered = this.#highestOffered?.version ?? 0;
    return offered > (this.inForce.value?.version ?? 0) ? offered : undefined;
  }

  #recordProblem(version: number | undefined, thrown: unknown): void {
    const { message } = toRouterError(thrown);
    if (this.#problem?.message === message && this.#problem.version === version) return;
    this.#problem = { version, message, sinceMs: this.#options.clock.wallMs() };
  }

  async #runPollLoop(): Promise<void> {
    const { clock, pollMs, retryMs } = this.#options;
    let waitMs = pollMs;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(waitMs, this.#stop.signal);
      if (this.#stop.signal.aborted) return;
      waitMs = (await this.#refreshOrLoadOffered()) ? pollMs : retryMs;
    }
  }

  async #refreshOrLoadOffered(): Promise<boolean> {
    let isRefreshed = true;
    try {
      await this.refresh();
      // A successful read ends a problem without a version; others end when a version takes effect.
      if (this.#problem?.version === undefined) this.#problem = undefined;
    } catch (error) {
      isRefreshed = false;
      this.#recordProblem(this.#pendingVersion, error);
    }
    // The store may be down while a peer can supply the objects that the last load could not get.
    const offered = this.#highestOffered;
    if (!isRefreshed && offered !== undefined) {
      await this.#loadIfNewer(offered).catch((error: unknown) => {
        this.#recordProblem(offered.version, error);
      });
    }
    await this.#recordTrialRun();
    return isRefreshed;
  }

  async #runWatchLoop(): Promise<void> {
    const { clock, retryMs } = this.#options;
    let revision = 0;
    while (!this.#stop.signal.aborted) {
      try {
        const startedMs = clock.monotonicMs();
        const seen = await this.#watchOnce(revision);
        // A store that returns from a watch immediately and without changes would cause a busy loop
        // that occupies the process. A watch that did wait is restarted without a delay.
        const isImmediateAndEmpty = seen === revision && clock.monotonicMs() - startedMs < retryMs;
        if (isImmediateAndEmpty) await clock.sleep(retryMs, this.#stop.signal);
        revision = seen;
      } catch (error) {
        // The store no longer has the changes since that revision: start from the current state.
        if (toRouterError(error).kind === 'historyGone') revision = 0;
        this.#recordProblem(this.#pendingVersion, error);
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
    // Until the first read is confirmed, a change only triggers a read.
    if (!this.#isActivationAllowed && changes.length > 0) await this.refresh();
    for (const change of changes) {
      if (change.object !== undefined) await this.#loadIfNewer(parseManifest(change.object.value));
    }
    return revision;
  }
}

function collectTexts(compiled: CompiledEnvironment): Map<string, string> {
  const texts = new Map([[compiled.root.settings, compiled.settingsText]]);
  for (const tree of [compiled.accounts, compiled.keys]) {
    for (const node of nodesOf(tree)) texts.set(node.digest, node.text);
  }
  return texts;
}
