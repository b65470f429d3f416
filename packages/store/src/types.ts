/**
 * Types of the platform's object API and instance list.
 */
import type { FailureDomainId, InstanceId, ServiceName } from '@acaciacrank/base';

/** One object of the platform's store. */
export interface StoredObject {
  readonly key: string;
  /**
   * Rises with each write of this key, also when it is deleted and written again, and when the store
   * returns from an older copy; see `composeVersion`.
   */
  readonly version: number;
  readonly value: unknown;
}

/** Precondition of a write on the current object: that it is absent, has a version, or none. */
export type WriteCondition =
  | { readonly kind: 'absent' }
  | { readonly kind: 'version'; readonly version: number }
  | { readonly kind: 'none' };

/** Outcome of a conditional write. */
export type WriteResult =
  | { readonly outcome: 'written'; readonly version: number }
  | {
      readonly outcome: 'conflict';
      /** The current object, if the store returned it; saves the writer a read. */
      readonly current?: StoredObject;
    };

/** Options of a watch. */
export interface WatchOptions {
  /** Respond at once, with or without changes; shows whether the store is available again. */
  isImmediate?: boolean;
  /** The longest time that the watch waits for a change, in milliseconds; by default as long as the store's client does. */
  maxWaitMs?: number;
}

/** Options of a snapshot. */
export interface SnapshotOptions {
  /** Allow a stale read, which may be seconds old and is cheaper for the store. */
  isStaleAllowed?: boolean;
}

/** One change that a watch reports; `object` is undefined when the key was removed. */
export interface StoreChange {
  readonly key: string;
  readonly revision: number;
  readonly object: StoredObject | undefined;
}

/** Result of a watch. */
export interface StoreChanges {
  /** Oldest first; empty when the watch ended without changes. */
  readonly changes: readonly StoreChange[];
  /** Revision to continue the watch from; never below the requested one. */
  readonly revision: number;
}

/** All objects under a prefix, and the revision to start watching from. */
export interface StoreSnapshot {
  /** Sorted by key. */
  readonly objects: readonly StoredObject[];
  readonly revision: number;
}

/**
 * Role of an instance in the platform's instance list: an `entry` instance accepts requests of callers
 * and forwards them to the upstreams, which are language model engines and other services.
 */
export type InstanceRole = 'entry' | 'engine' | 'service';

/** An entry of the platform's instance list. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly role: InstanceRole;
  /** The service that an upstream serves; undefined for entry instances. */
  readonly service?: ServiceName;
  /** `http://IP:PORT` where it accepts requests. */
  readonly url: string;
  /** `ws://IP:PORT` of an entry instance's links; undefined for upstreams. */
  readonly fleetUrl?: string;
  /** `http://IP:PORT` of an entry instance's operators' port; undefined if the list lacks it. */
  readonly operatorsUrl?: string;
  /** The environment of an entry instance, for example `kapiti.trial`; undefined when unknown. */
  readonly environment?: string;
  readonly failureDomain: FailureDomainId;
  readonly state: 'live' | 'leaving';
}
