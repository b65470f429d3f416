import {
  hashText,
  millisecondsInMinute,
  type Clock,
  type FailureDomainId,
  type InstanceId,
} from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import type { MemberRecord } from '../types.js';

/**
 * How a member is seen from here.
 *
 * `listed`: only the platform's list speaks of it. `starting`: it has no configuration yet and takes
 * no requests. `suspect`: somebody could not reach it, and it
 * has not answered to that yet; it still counts as usable. `dead`: it did not answer in time.
 */
export type MemberState = 'listed' | 'starting' | 'live' | 'suspect' | 'leaving' | 'left' | 'dead';

/** One instance of the fleet, as seen from here. */
export interface Member {
  readonly id: InstanceId;
  readonly state: MemberState;
  /** Names one life of the instance; empty when it was never heard of. */
  readonly life: string;
  readonly incarnation: number;
  readonly url: string;
  readonly fleetUrl: string;
  readonly failureDomain: FailureDomainId;
  /** Whether the platform's list names it. */
  readonly isListed: boolean;
  /** Whether it was ever seen as live here; of others nothing but a list or hearsay speaks. */
  readonly wasLive: boolean;
  /** Since when it is seen in this state, in milliseconds since 1970. */
  readonly sinceMs: number;
}

/** Options of {@link MemberTable}. */
export interface MemberTableOptions {
  clock: Clock;
  /** What this instance says of itself at the start. */
  self: MemberRecord;
  /** How long a suspect has to answer, in milliseconds. */
  suspicionMs: number;
}

/** What a record changed. */
export type MergeResult = 'unchanged' | 'changed' | 'selfRaised' | 'selfContested';

interface Entry {
  record: MemberRecord;
  isListed: boolean;
  isDead: boolean;
  wasLive: boolean;
  /** By the monotonic clock; undefined while nobody doubts the member. */
  suspectedAtMs: number | undefined;
  /** By the monotonic clock. */
  changedAtMs: number;
  sinceMs: number;
}

/** How long a member that is gone is remembered, so that late gossip does not bring it back. */
const rememberGoneMs = 10 * millisecondsInMinute;

/**
 * What this instance believes of all members.
 *
 * Of two records of a member the higher incarnation wins, and only the member itself raises it; so a
 * doubt is lifted, and a restart told apart from the former life, by the member's own word alone.
 * Death is never gossiped, only doubt is: each instance waits for itself before it gives a member
 * up. A rumour of death would otherwise kill a whole side for a moment when a partition heals.
 */
export class MemberTable {
  readonly #options: MemberTableOptions;
  readonly #entries = new Map<InstanceId, Entry>();
  #self: MemberRecord;
  #hash: number | undefined;

  constructor(options: MemberTableOptions) {
    this.#options = options;
    this.#self = options.self;
  }

  /** What this instance says of itself. */
  get self(): MemberRecord {
    return this.#self;
  }

  /** A hash of the view, equal on instances that believe the same. */
  get hash(): number {
    this.#hash ??= [...this.#entries.values()]
      .filter(({ record, isDead }) => record.incarnation > 0 && !isDead)
      .map(({ record }) => record)
      .concat(this.#self)
      .reduce((hash, record) => (hash ^ hashOf(record)) >>> 0, 0);
    return this.#hash;
  }

  /** Says where this instance listens; before anything was said of it. */
  setAddresses({ url, fleetUrl }: Pick<MemberRecord, 'url' | 'fleetUrl'>): void {
    this.#self = { ...this.#self, url, fleetUrl };
  }

  /** Changes what this instance says of itself, above everything said before. */
  declare(state: MemberRecord['state']): void {
    this.#self = { ...this.#self, state, incarnation: this.#self.incarnation + 1 };
    this.#hash = undefined;
  }

  /**
   * Takes the platform's list, which lags: it brings instances in and lets gone ones be forgotten,
   * but does not contradict what a member said of itself.
   *
   * @returns whether anything changed
   */
  list(entries: readonly ListedInstance[]): boolean {
    const listed = new Map(entries.map((entry) => [entry.id, entry]));
    let isChanged = false;
    for (const entry of listed.values()) isChanged = this.#listOne(entry) || isChanged;
    for (const [id, entry] of this.#entries) {
      if (listed.has(id) || !entry.isListed) continue;
      entry.isListed = false;
      isChanged = true;
      // Never heard of and no longer listed: nothing speaks for it.
      if (entry.record.incarnation === 0) this.#entries.delete(id);
    }
    if (isChanged) this.#hash = undefined;
    return isChanged;
  }

  /**
   * Takes what somebody says of a member.
   *
   * @param record - about any member, this instance included
   */
  merge(record: MemberRecord): MergeResult {
    if (record.id === this.#self.id) return this.#answerFor(record);
    const known = this.#entries.get(record.id);
    if (known === undefined) {
      this.#put(record, { isListed: false });
      return 'changed';
    }
    if (record.incarnation > known.record.incarnation) {
      this.#put(record, { isListed: known.isListed });
      return 'changed';
    }
    const isSameIncarnation = record.incarnation === known.record.incarnation;
    if (isSameIncarnation && record.isSuspect) return this.suspect(record.id);
    return 'unchanged';
  }

  /** Doubts a member from now on. */
  suspect(id: InstanceId): MergeResult {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.record.isSuspect || entry.record.state === 'left') {
      return 'unchanged';
    }
    this.#put({ ...entry.record, isSuspect: true }, { isListed: entry.isListed });
    return 'changed';
  }

  /**
   * Gives up suspects whose time is over, and forgets who has been gone for long.
   *
   * @returns those given up now
   */
  expire(): InstanceId[] {
    const { clock, suspicionMs } = this.#options;
    const nowMs = clock.monotonicMs();
    const died: InstanceId[] = [];
    for (const [id, entry] of this.#entries) {
      const suspectedAtMs = entry.suspectedAtMs ?? Infinity;
      if (!entry.isDead && nowMs - suspectedAtMs >= suspicionMs) {
        this.#change(entry, { isDead: true });
        died.push(id);
      }
      const isGone = entry.isDead || entry.record.state === 'left';
      const isForgotten = nowMs - entry.changedAtMs >= rememberGoneMs;
      if (isGone && isForgotten && !entry.isListed) this.#entries.delete(id);
    }
    return died;
  }

  /**
   * Begins all waits for suspects anew.
   *
   * Guards against a pause of this process: acknowledgements that came meanwhile were not read, so
   * everybody would look dead at once when it wakes.
   */
  restartSuspicions(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const entry of this.#entries.values()) {
      if (entry.suspectedAtMs !== undefined && !entry.isDead) entry.suspectedAtMs = nowMs;
    }
  }

  /** What is said of a member here; a dead one is said to be suspect, so that it can object. */
  record(id: InstanceId): MemberRecord | undefined {
    return id === this.#self.id ? this.#self : this.#entries.get(id)?.record;
  }

  /** Members heard of and not given up, for comparing views slice by slice. */
  knownIds(): InstanceId[] {
    return [...this.#entries]
      .filter(([, { record, isDead }]) => record.incarnation > 0 && !isDead)
      .map(([id]) => id);
  }

  /** How one member is seen. */
  member(id: InstanceId): Member | undefined {
    const entry = this.#entries.get(id);
    return entry === undefined ? undefined : memberOf(entry);
  }

  /** All members but this instance. */
  others(): Member[] {
    return [...this.#entries.values()].map(memberOf);
  }

  #listOne(listed: ListedInstance): boolean {
    if (listed.id === this.#self.id) return false;
    const known = this.#entries.get(listed.id);
    if (known !== undefined && known.record.incarnation > 0) {
      const isChanged = !known.isListed;
      known.isListed = true;
      return isChanged;
    }
    const record = recordOfListed(listed);
    if (known?.record.fleetUrl === record.fleetUrl && known.record.state === record.state) {
      return false;
    }
    this.#put(record, { isListed: true });
    return true;
  }

  /** Lifts a doubt about this instance, and outdoes what is still said of its former life. */
  #answerFor(record: MemberRecord): MergeResult {
    if (record.incarnation < this.#self.incarnation) return 'unchanged';
    const isOtherLife = record.life !== this.#self.life;
    if (!record.isSuspect && !isOtherLife) return 'unchanged';
    this.#self = { ...this.#self, incarnation: record.incarnation + 1 };
    this.#hash = undefined;
    return isOtherLife && record.state !== 'left' ? 'selfContested' : 'selfRaised';
  }

  #put(record: MemberRecord, { isListed }: { isListed: boolean }): void {
    const { clock } = this.#options;
    const nowMs = clock.monotonicMs();
    const isLive = record.incarnation > 0 && record.state === 'live' && !record.isSuspect;
    this.#hash = undefined;
    this.#entries.set(record.id, {
      record,
      isListed,
      isDead: false,
      wasLive: isLive || (this.#entries.get(record.id)?.wasLive ?? false),
      suspectedAtMs: record.isSuspect ? nowMs : undefined,
      changedAtMs: nowMs,
      sinceMs: clock.wallMs(),
    });
  }

  #change(entry: Entry, change: Pick<Entry, 'isDead'>): void {
    entry.isDead = change.isDead;
    entry.changedAtMs = this.#options.clock.monotonicMs();
    entry.sinceMs = this.#options.clock.wallMs();
    this.#hash = undefined;
  }
}

function memberOf(entry: Entry): Member {
  const { id, life, incarnation, url, fleetUrl, failureDomain } = entry.record;
  return {
    id,
    state: stateOf(entry),
    life,
    incarnation,
    url,
    fleetUrl,
    failureDomain: failureDomain as FailureDomainId,
    isListed: entry.isListed,
    wasLive: entry.wasLive,
    sinceMs: entry.sinceMs,
  };
}

function stateOf({ record, isDead }: Entry): MemberState {
  if (record.state === 'left') return 'left';
  if (isDead) return 'dead';
  if (record.state === 'leaving') return 'leaving';
  if (record.state === 'starting') return 'starting';
  if (record.isSuspect) return 'suspect';
  return record.incarnation === 0 ? 'listed' : 'live';
}

function recordOfListed(listed: ListedInstance): MemberRecord {
  return {
    id: listed.id,
    life: '',
    incarnation: 0,
    state: listed.state,
    isSuspect: false,
    url: listed.url,
    fleetUrl: listed.fleetUrl ?? '',
    failureDomain: listed.failureDomain,
  };
}

function hashOf({ id, incarnation, state, isSuspect }: MemberRecord): number {
  return hashText(`${id}\n${incarnation}\n${state}\n${isSuspect}`);
}
