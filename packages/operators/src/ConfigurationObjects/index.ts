/**
 * Sources from which the objects of an accepted document are read by digest.
 */
import { RouterError, withTimeout, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import * as z from 'zod';

/** A source of configuration objects. Callers verify the returned text against the digest. */
export abstract class ConfigurationObjects {
  /**
   * Reads the text of an object.
   *
   * @param digest - the object's content address
   * @returns its text; undefined if this source does not have it
   * @throws RouterError if the source does not answer
   */
  abstract read(digest: string): Promise<string | undefined>;
}

/** Schema of a configuration object in the store. */
export const storedObjectSchema = z.strictObject({
  /** When it was last written, in milliseconds since 1970; garbage collection skips new objects. */
  writtenAtMs: z.number(),
  text: z.string(),
});

/**
 * The store key of a configuration object.
 *
 * @example
 * objectKey('kapiti', '0c…');
 * //=> 'config/kapiti/objects/0c…'
 */
export function objectKey(environment: string, digest: string): string {
  return `config/${environment}/objects/${digest}`;
}

/** Reads objects from the platform's object store. */
export class StoreConfigurationObjects extends ConfigurationObjects {
  readonly #store: ObjectStore;
  readonly #environment: string;

  constructor(store: ObjectStore, environment: string) {
    super();
    this.#store = store;
    this.#environment = environment;
  }

  override async read(digest: string): Promise<string | undefined> {
    const stored = await this.#store.read(objectKey(this.#environment, digest));
    const parsed = storedObjectSchema.safeParse(stored?.value);
    return parsed.success ? parsed.data.text : undefined;
  }
}

/** Reads objects from a map from digest to text. */
export class MemoryConfigurationObjects extends ConfigurationObjects {
  readonly #texts: ReadonlyMap<string, string>;

  constructor(texts: ReadonlyMap<string, string>) {
    super();
    this.#texts = texts;
  }

  override read(digest: string): Promise<string | undefined> {
    return Promise.resolve(this.#texts.get(digest));
  }
}

/** Initial and maximum timeout of one read, in milliseconds. */
const initialTimeoutMs = 1_500;
const maxTimeoutMs = 12_000;

/** Options of {@link FailoverConfigurationObjects}. */
export interface FailoverConfigurationObjectsOptions {
  /** The sources, in order of preference. */
  sources: readonly ConfigurationObjects[];
  clock: Clock;
  /** Initial timeout of one read in milliseconds; doubles with each failure of a source. */
  timeoutMs?: number;
  /** How long a source is tried last after a failure, in milliseconds. */
  deprioritizeMs?: number;
}

/**
 * Reads from several sources with failover: the next source is tried when one fails or does not
 * have the object.
 *
 * Each read from an unavailable store lasts until its timeout. A change spans several levels of the
 * tree, and one timeout per level would exceed the time within which a change must take effect.
 * A source that failed is therefore tried last for a while. A fixed timeout would make a slow but
 * working store fail on every read, so the timeout doubles with each failure and is reset by the
 * first success.
 */
export class FailoverConfigurationObjects extends ConfigurationObjects {
  readonly #options: FailoverConfigurationObjectsOptions;
  readonly #deprioritizedUntilMs = new Map<ConfigurationObjects, number>();
  readonly #timeoutMs = new Map<ConfigurationObjects, number>();

  constructor(options: FailoverConfigurationObjectsOptions) {
    super();
    this.#options = options;
  }

  override async read(digest: string): Promise<string | undefined> {
    let lastError: unknown;
    for (const source of this.#orderSources()) {
      try {
        const text = await this.#readFrom(source, digest);
        this.#timeoutMs.delete(source);
        if (text !== undefined) return text;
      } catch (error) {
        lastError = error;
        this.#recordFailure(source);
      }
    }
    // The object is known to be missing only if every source has answered.
    if (lastError !== undefined) throw lastError as Error;
    return undefined;
  }

  #readFrom(source: ConfigurationObjects, digest: string): Promise<string | undefined> {
    return withTimeout(this.#options.clock, this.#timeoutOf(source), () => source.read(digest), {
      kind: 'storeUnavailable',
      what: `reading the configuration object ${digest}`,
    });
  }

  #orderSources(): ConfigurationObjects[] {
    const nowMs = this.#options.clock.monotonicMs();
    const isDeprioritized = (source: ConfigurationObjects) =>
      (this.#deprioritizedUntilMs.get(source) ?? -Infinity) > nowMs;
    const { sources } = this.#options;
    return [
      ...sources.filter((source) => !isDeprioritized(source)),
      ...sources.filter((source) => isDeprioritized(source)),
    ];
  }

  #timeoutOf(source: ConfigurationObjects): number {
    return this.#timeoutMs.get(source) ?? this.#options.timeoutMs ?? initialTimeoutMs;
  }

  #recordFailure(source: ConfigurationObjects): void {
    const { clock, deprioritizeMs = 5_000 } = this.#options;
    this.#timeoutMs.set(source, Math.min(maxTimeoutMs, 2 * this.#timeoutOf(source)));
    this.#deprioritizedUntilMs.set(source, clock.monotonicMs() + deprioritizeMs);
  }
}

/**
 * Reads an object that must exist.
 *
 * @throws RouterError `notFound` if the source does not have the object, or the error of the source
 */
export async function readRequiredObject(
  source: ConfigurationObjects,
  digest: string,
): Promise<string> {
  const text = await source.read(digest);
  if (text !== undefined) return text;
  throw new RouterError('notFound', `configuration object ${digest} was not found`);
}
