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
 * State of a member as this instance sees it.
 *
 * - `listed`: known only from the platform's instance list
 * - `starting`: has no configuration yet and accepts no requests
 * - `live`: accepts requests
 * - `suspect`: an instance could not reach it, and it has not refuted this yet; still counts as
 *   usable
 * - `leaving`: announced that it will soon stop accepting new callers
 * - `left`: announced that it is shutting down now
 * - `dead`: did not refute a suspicion in time
 */
export type MemberState = 'listed' | 'starting' | 'live' | 'suspect' | 'leaving' | 'left' | 'dead';

/** A member of the fleet as this instance sees it. */
export interface Member {
  readonly id: InstanceId;
  readonly state: MemberState;
  /** Identifies one run of the instance's process; empty when no record of it was received. */
  readonly life: string;
  readonly incarnation: number;
  readonly url: string;
  readonly fleetUrl: string;
  readonly failureDomain: FailureDomainId;
  /** Whether the platform's instance list contains it. */
  readonly isListed: boolean;
  /**
   * Whether this instance ever held a `live` record of it, rather than only a list entry or
   * suspicion.
   */
  readonly wasLive: boolean;
  /**
   * When this instance first saw it in its present state, in milliseconds since the Unix epoch
   * (1970).
   */
  readonly sinceMs: number;
}

/** Options of {@link MemberTable}. */
export interface MemberTableOptions {
  clock: Clock;
  /** Initial record of this instance. */
  self: MemberRecord;
  /** How long a suspected member has to refute the suspicion, in milliseconds. */
  suspicionMs: number;
}

/**
 * What a record changed.
 *
 * - `unchanged`: nothing
 * - `suspectedHere`: nothing, but its sender does not know that the member is suspected, or given up
 * - `changed`: the entry of another member
 * - `selfRaised`: this instance raised its own incarnation to refute the record
 * - `selfContested`: the same, for a record of another run that has not left; its id may be in use
 *   twice
 */
export type MergeResult =
  'unchanged' | 'suspectedHere' | 'changed' | 'selfRaised' | 'selfContested';

interface Entry {
  record: MemberRecord;
  isListed: boolean;
  isDead: boolean;
  wasLive: boolean;
  /** On the monotonic clock; undefined while the member is not suspected. */
  suspectedAtMs: number | undefined;
  /** On the monotonic clock. */
  changedAtMs: number;
  sinceMs: number;
}

/**
 * How long a dead or left member is kept, in milliseconds, so that late gossip does not re-add it.
 */
const goneMemberRetentionMs = 10 * millisecondsInMinute;

/**
 * This instance's view of all members.
 *
 * Of two records of a member the one with the higher incarnation wins, and only the member itself
 * raises its incarnation. Hence only the member can refute a suspicion or replace the record of its
 * earlier run.
 *
 * Suspicions are gossiped but deaths are not: each instance waits for the suspicion timeout itself.
 * Otherwise gossiped deaths would briefly mark one whole side of a healed partition as dead.
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

  /** The record of this instance. */
  get self(): MemberRecord {
    return this.#self;
  }

  /** A hash of the view; equal on instances that hold the same records. */
  get hash(): number {
    this.#hash ??= [...this.#entries.values()]
      .filter(({ record, isDead }) => record.incarnation > 0 && !isDead)
      .map(({ record }) => record)
      .concat(this.#self)
      .reduce((hash, record) => (hash ^ hashRecord(record)) >>> 0, 0);
    return this.#hash;
  }

  /** Sets the addresses of this instance; call it before the first record of it is sent. */
  setAddresses({ url, fleetUrl }: Pick<MemberRecord, 'url' | 'fleetUrl'>): void {
    this.#self = { ...this.#self, url, fleetUrl };
  }

  /** Sets the state of this instance and raises its incarnation, so that the new record wins. */
  setOwnState(state: MemberRecord['state']): void {
    this.#self = { ...this.#self, state, incarnation: this.#self.incarnation + 1 };
    this.#hash = undefined;
  }

  /**
   * Applies the platform's instance list. The list lags, so it only adds unknown instances and
   * allows gone ones to be removed; it never overrides a record that came from a member.
   *
   * @returns whether anything changed
   */
  applyInstanceList(entries: readonly ListedInstance[]): boolean {
    const listed = new Map(entries.map((entry) => [entry.id, entry]));
    let isChanged = false;
    for (const entry of listed.values()) isChanged = this.#applyListedInstance(entry) || isChanged;
    for (const [id, entry] of this.#entries) {
      if (listed.has(id) || !entry.isListed) continue;
      entry.isListed = false;
      isChanged = true;
      // No record was ever received, and the list no longer contains it.
      if (entry.record.incarnation === 0) this.#entries.delete(id);
    }
    if (isChanged) this.#hash = undefined;
    return isChanged;
  }

  /**
   * Merges a received record into the view.
   *
   * @param record - describes any member, including this instance
   */
  merge(record: MemberRecord): MergeResult {
    if (record.id === this.#self.id) return this.#mergeOwnRecord(record);
    const known = this.#entries.get(record.id);
    if (known === undefined) {
      this.#setRecord(record, { isListed: false });
      return 'changed';
    }
    if (record.incarnation > known.record.incarnation) {
      this.#setRecord(record, { isListed: known.isListed });
      return 'changed';
    }
    const isSameIncarnation = record.incarnation === known.record.incarnation;
    if (isSameIncarnation && record.isSuspect) return this.suspect(record.id);
    return known.record.isSuspect ? 'suspectedHere' : 'unchanged';
  }

  /** Marks a member as suspected and starts its suspicion timeout. */
  suspect(id: InstanceId): MergeResult {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.record.isSuspect || entry.record.state === 'left') {
      return 'unchanged';
    }
    this.#setRecord({ ...entry.record, isSuspect: true }, { isListed: entry.isListed });
    return 'changed';
  }

  /**
   * Declares suspects dead whose suspicion timeout has passed, and removes members that have been
   * gone for longer than the retention period.
   *
   * @returns the members declared dead by this call
   */
  expire(): InstanceId[] {
    const { clock, suspicionMs } = this.#options;
    const nowMs = clock.monotonicMs();
    const expiredIds: InstanceId[] = [];
    for (const [id, entry] of this.#entries) {
      const suspectedAtMs = entry.suspectedAtMs ?? Infinity;
      if (!entry.isDead && nowMs - suspectedAtMs >= suspicionMs) {
        this.#updateEntry(entry, { isDead: true });
        expiredIds.push(id);
      }
      const isGone = entry.isDead || entry.record.state === 'left';
      const isRetentionOver = nowMs - entry.changedAtMs >= goneMemberRetentionMs;
      if (isGone && isRetentionOver && !entry.isListed) this.#entries.delete(id);
    }
    return expiredIds;
  }

  /**
   * Restarts the suspicion timeouts of all suspects.
   *
   * Call it after a pause of this process: messages that arrived during the pause were not read, so
   * every suspect would be declared dead as soon as the process resumes.
   */
  restartSuspicions(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const entry of this.#entries.values()) {
      if (entry.suspectedAtMs !== undefined && !entry.isDead) entry.suspectedAtMs = nowMs;
    }
  }

  /**
   * The record of a member to gossip. A dead member's record is sent as suspected, so that it
   * can refute it.
   */
  record(id: InstanceId): MemberRecord | undefined {
    return id === this.#self.id ? this.#self : this.#entries.get(id)?.record;
  }

  /** Members with a received record that are not dead; peers compare their views over these. */
  knownIds(): InstanceId[] {
    return [...this.#entries]
      .filter(([, { record, isDead }]) => record.incarnation > 0 && !isDead)
      .map(([id]) => id);
  }

  /** The view of one member. */
  member(id: InstanceId): Member | undefined {
    const entry = this.#entries.get(id);
    return entry === undefined ? undefined : toMember(entry);
  }

  /** All members but this instance. */
  others(): Member[] {
    return [...this.#entries.values()].map(toMember);
  }

  #applyListedInstance(listed: ListedInstance): boolean {
    if (listed.id === this.#self.id) return false;
    const known = this.#entries.get(listed.id);
    if (known !== undefined && known.record.incarnation > 0) {
      const isChanged = !known.isListed;
      known.isListed = true;
      return isChanged;
    }
    const record = toMemberRecord(listed);
    if (known?.record.fleetUrl === record.fleetUrl && known.record.state === record.state) {
      return false;
    }
    this.#setRecord(record, { isListed: true });
    return true;
  }

  /** Refutes a suspicion of this instance, and supersedes records of its earlier run. */
  #mergeOwnRecord(record: MemberRecord): MergeResult {
    if (record.incarnation < this.#self.incarnation) return 'unchanged';
    const isOtherLife = record.life !== this.#self.life;
    if (!record.isSuspect && !isOtherLife) return 'unchanged';
    this.#self = { ...this.#self, incarnation: record.incarnation + 1 };
    this.#hash = undefined;
    return isOtherLife && record.state !== 'left' ? 'selfContested' : 'selfRaised';
  }

  #setRecord(record: MemberRecord, { isListed }: { isListed: boolean }): void {
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

  #updateEntry(entry: Entry, change: Pick<Entry, 'isDead'>): void {
    entry.isDead = change.isDead;
    entry.changedAtMs = this.#options.clock.monotonicMs();
    entry.sinceMs = this.#options.clock.wallMs();
    this.#hash = undefined;
  }
}

function toMember(entry: Entry): Member {
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

function toMemberRecord(listed: ListedInstance): MemberRecord {
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

function hashRecord({ id, incarnation, state, isSuspect }: MemberRecord): number {
  return hashText(`${id}\n${incarnation}\n${state}\n${isSuspect}`);
}
