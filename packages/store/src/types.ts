/**
 * What the platform's object API and instance list answer.
 */
import type { FailureDomainId, InstanceId, ServiceName } from '@acaciacrank/base';

/** One object of the platform's store. */
export interface StoredObject {
  readonly key: string;
  /** Rises with each write of this key, also across deletion. */
  readonly version: number;
  readonly value: unknown;
}

/** What a write requires of the object as it stands. */
export type WriteCondition =
  | { readonly kind: 'absent' }
  | { readonly kind: 'version'; readonly version: number }
  | { readonly kind: 'none' };

/** What a conditional write did. */
export type WriteResult =
  | { readonly outcome: 'written'; readonly version: number }
  | {
      readonly outcome: 'conflict';
      /** The object as it stands, where the store said so; saves the writer a read. */
      readonly current?: StoredObject;
    };

/** How a watch may be made. */
export interface WatchOptions {
  /** Answer at once, with or without news: tells whether the store is back without waiting for it. */
  isImmediate?: boolean;
}

/** How a snapshot may be taken. */
export interface SnapshotOptions {
  /** Take what the store has at hand, which may be seconds old and costs it less. */
  isStaleAllowed?: boolean;
}

/** One change that a watch reports; `object` is undefined when the key was removed. */
export interface StoreChange {
  readonly key: string;
  readonly revision: number;
  readonly object: StoredObject | undefined;
}

/** What a watch answers. */
export interface StoreChanges {
  /** Oldest first; empty when the wait ended without any. */
  readonly changes: readonly StoreChange[];
  /** Where to go on watching from; at least the revision that was asked for. */
  readonly revision: number;
}

/** All objects under a prefix, and the revision at which to begin to watch for changes. */
export interface StoreSnapshot {
  /** In order of key. */
  readonly objects: readonly StoredObject[];
  readonly revision: number;
}

/** What the platform's list says an instance is for. */
export type InstanceRole = 'entry' | 'engine' | 'service';

/** One row of the platform's instance list. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly role: InstanceRole;
  /** The service that an upstream serves; undefined for entry instances. */
  readonly service?: ServiceName;
  /** `http://IP:PORT` where it takes its callers' requests. */
  readonly url: string;
  /** `ws://IP:PORT` of an entry instance's links; undefined for upstreams. */
  readonly fleetUrl?: string;
  /** `http://IP:PORT` of an entry instance's operators' port; undefined when the list has none. */
  readonly operatorsUrl?: string;
  /** The environment of an entry instance, for example `kapiti.trial`; undefined when unknown. */
  readonly environment?: string;
  readonly failureDomain: FailureDomainId;
  readonly state: 'live' | 'leaving';
}
