import { RouterError } from '@acaciacrank/base';
import * as z from 'zod';
import { InstanceList } from '../InstanceList/index.js';
import type { ObjectStore } from '../ObjectStore/index.js';
import type { ListedInstance } from '../types.js';

const listedInstanceSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'engine', 'service']),
  service: z.string().optional(),
  url: z.string(),
  fleetUrl: z.string().optional(),
  operatorsUrl: z.string().optional(),
  environment: z.string().optional(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});

const instanceListPrefix = 'listed/';

/**
 * Returns the store key of an instance's entry in the list.
 *
 * @example
 * instanceListKey('entry-1');
 * //=> 'listed/entry-1'
 */
export function instanceListKey(id: string): string {
  return `${instanceListPrefix}${id}`;
}

/** An instance list kept in the object store, with one object per instance. */
export class StoredInstanceList extends InstanceList {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    super();
    this.#store = store;
  }

  override async read(): Promise<readonly ListedInstance[]> {
    const { objects } = await this.#store.snapshot(instanceListPrefix, { isStaleAllowed: true });
    const parsed = z.array(listedInstanceSchema).safeParse(objects.map(({ value }) => value));
    if (parsed.success) return parsed.data as unknown as ListedInstance[];
    throw new RouterError('storeUnavailable', 'the instance list has an invalid entry', {
      cause: parsed.error,
    });
  }
}
