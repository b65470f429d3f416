/**
 * Where the objects of an accepted document are read from, by digest.
 */
import { RouterError, withTimeout, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { z } from 'zod';

/** A source of configuration objects; what it answers is checked against the digest. */
export abstract class ConfigurationObjects {
  /**
   * Reads the text of an object.
   *
   * @param digest - the object's name
   * @returns its text; undefined when this source does not have it
   * @throws RouterError when the source does not answer
   */
  abstract read(digest: string): Promise<string | undefined>;
}

/** Checks a configuration object in the store. */
export const storedTextSchema = z.strictObject({
  /** When it was last written, in milliseconds since 1970; the collection of garbage waits on it. */
  writtenAtMs: z.number(),
  text: z.string(),
});

/**
 * The key of a configuration object.
 *
 * @example
 * objectKey('kapiti', '0c…');
 * //=> 'config/kapiti/objects/0c…'
 */
export function objectKey(environment: string, digest: string): string {
  return `config/${environment}/objects/${digest}`;
}

/** Objects in the platform's store. */
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
    const parsed = storedTextSchema.safeParse(stored?.value);
    return parsed.success ? parsed.data.text : undefined;
  }
}

/** Objects that are in memory already. */
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

/** Bounds on the time of one read, in milliseconds. */
const firstTimeoutMs = 1_500;
const longestTimeoutMs = 12_000;

/** Options of {@link OrderedConfigurationObjects}. */
export interface OrderedConfigurationObjectsOptions {
  /** In order of preference. */
  sources: readonly ConfigurationObjects[];
  clock: Clock;
  /** How long one source may take at first, in milliseconds; doubles while it fails. */
  timeoutMs?: number;
  /** How long a source that failed is asked last, in milliseconds. */
  avoidMs?: number;
}

/**
 * Asks one source after the other.
 *
 * A store that is down fails each read only when its time is up. A change is several objects deep,
 * so waiting for that at each of them would take longer than a change may take: a source that
 * failed is asked last for a while. A store that is slow, not down, would fail for ever by a fixed
 * bound: the bound doubles with each failure and falls back with the first answer.
 */
export class OrderedConfigurationObjects extends ConfigurationObjects {
  readonly #options: OrderedConfigurationObjectsOptions;
  readonly #avoidUntilMs = new Map<ConfigurationObjects, number>();
  readonly #timeoutMs = new Map<ConfigurationObjects, number>();

  constructor(options: OrderedConfigurationObjectsOptions) {
    super();
    this.#options = options;
  }

  override async read(digest: string): Promise<string | undefined> {
    let lastError: unknown;
    for (const source of this.#inOrder()) {
      try {
        const text = await this.#ask(source, digest);
        this.#timeoutMs.delete(source);
        if (text !== undefined) return text;
      } catch (error) {
        lastError = error;
        this.#avoid(source);
      }
    }
    // "Not there" is known only when every source has said so.
    if (lastError !== undefined) throw lastError as Error;
    return undefined;
  }

  #ask(source: ConfigurationObjects, digest: string): Promise<string | undefined> {
    return withTimeout(this.#options.clock, this.#timeoutOf(source), () => source.read(digest), {
      kind: 'storeUnavailable',
      what: `reading the configuration object ${digest}`,
    });
  }

  #inOrder(): ConfigurationObjects[] {
    const nowMs = this.#options.clock.monotonicMs();
    const isAvoided = (source: ConfigurationObjects) =>
      (this.#avoidUntilMs.get(source) ?? -Infinity) > nowMs;
    const { sources } = this.#options;
    return [
      ...sources.filter((source) => !isAvoided(source)),
      ...sources.filter((source) => isAvoided(source)),
    ];
  }

  #timeoutOf(source: ConfigurationObjects): number {
    return this.#timeoutMs.get(source) ?? this.#options.timeoutMs ?? firstTimeoutMs;
  }

  #avoid(source: ConfigurationObjects): void {
    const { clock, avoidMs = 5_000 } = this.#options;
    this.#timeoutMs.set(source, Math.min(longestTimeoutMs, 2 * this.#timeoutOf(source)));
    this.#avoidUntilMs.set(source, clock.monotonicMs() + avoidMs);
  }
}

/**
 * Reads an object that must be there.
 *
 * @throws RouterError `notFound` when no source has it, or what the source throws
 */
export async function readRequired(source: ConfigurationObjects, digest: string): Promise<string> {
  const text = await source.read(digest);
  if (text !== undefined) return text;
  throw new RouterError('notFound', `the configuration object ${digest} is not there`);
}
