import { RouterError } from '@acaciacrank/base';
import * as z from 'zod';
import { readRequiredObject, type ConfigurationObjects } from '../ConfigurationObjects/index.js';
import {
  parseVerifiedObject,
  objectDigest,
  parseNode,
  TreeBranch,
  TreeLeaf,
  type TreeNode,
} from '../configurationTree/index.js';
import type { CompiledEnvironment } from '../compileEnvironment/index.js';
import { environmentSchema } from '../environmentSchema/index.js';
import type { ConfigurationRoot, EnvironmentSettings } from '../types.js';

/** Maximum number of concurrent object reads. */
const maxConcurrentReads = 32;

const settingsSchema = z.strictObject({
  environment: environmentSchema.shape.environment,
  weighs: environmentSchema.shape.weighs,
  classes: environmentSchema.shape.classes,
  services: environmentSchema.shape.services,
});

/** Options of {@link loadConfiguration}. */
export interface LoadConfigurationOptions {
  /** An earlier version whose objects are reused instead of being read again. */
  reuseFrom?: CompiledEnvironment | undefined;
  /** Collects object texts by digest; pass the same map again to resume after a failed attempt. */
  fetchedTexts?: Map<string, string>;
}

/**
 * Loads an accepted document completely; a partial result is never returned.
 *
 * @param source - source of the document's objects
 * @param root - digests of the document's root objects
 * @param options - objects that need not be read again
 * @returns the compiled document, with every newly read object verified
 * @throws RouterError `notFound` if an object is missing, `badDocument` if one is damaged or cannot
 * be read by this release, `storeUnavailable` if the source does not answer
 *
 * @example
 * const compiled = await loadConfiguration(objects, manifest.root, { reuseFrom: inForce.compiled });
 */
export async function loadConfiguration(
  source: ConfigurationObjects,
  root: ConfigurationRoot,
  options: LoadConfigurationOptions = {},
): Promise<CompiledEnvironment> {
  const { reuseFrom, fetchedTexts = new Map<string, string>() } = options;
  const loader = new TreeLoader(source, fetchedTexts);
  const [settingsText, accounts, keys] = await Promise.all([
    reuseFrom?.root.settings === root.settings
      ? reuseFrom.settingsText
      : loader.text(root.settings),
    loader.load(root.accounts, reuseFrom?.accounts),
    loader.load(root.keys, reuseFrom?.keys),
  ]);
  const settings = parseSettingsObject(root.settings, settingsText);
  return { settings, settingsText, accounts, keys, root };
}

function parseSettingsObject(digest: string, text: string): EnvironmentSettings {
  const parsed = settingsSchema.safeParse(parseVerifiedObject(digest, text));
  if (parsed.success) return parsed.data;
  throw new RouterError(
    'badDocument',
    `configuration object ${digest} does not match the settings schema`,
    { cause: parsed.error },
  );
}

/** Loads trees with a limit on concurrent reads. */
class TreeLoader {
  readonly #source: ConfigurationObjects;
  readonly #fetchedTexts: Map<string, string>;
  readonly #waiting: (() => void)[] = [];
  #activeReads = 0;

  constructor(source: ConfigurationObjects, fetchedTexts: Map<string, string>) {
    this.#source = source;
    this.#fetchedTexts = fetchedTexts;
  }

  /** Reuses `previous`, the node at the same place in an earlier version, if it is unchanged. */
  async load(digest: string, previous: TreeNode | undefined): Promise<TreeNode> {
    if (previous?.digest === digest) return previous;
    const text = await this.text(digest);
    const parsed = parseNode(digest, text);
    if (parsed.kind === 'leaf') return new TreeLeaf(text);
    const previousChildren =
      previous?.kind === 'branch' && previous.at === parsed.at ? previous.children : undefined;
    const children = await Promise.all(
      [...parsed.children].map(
        async ([digit, child]) =>
          [digit, await this.load(child, previousChildren?.get(digit))] as const,
      ),
    );
    const branch = new TreeBranch(parsed.at, new Map(children));
    if (branch.digest === digest) return branch;
    throw new RouterError('badDocument', `configuration object ${digest} is not a valid tree node`);
  }

  async text(digest: string): Promise<string> {
    const cachedText = this.#fetchedTexts.get(digest);
    if (cachedText !== undefined) return cachedText;
    if (this.#activeReads >= maxConcurrentReads) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    this.#activeReads += 1;
    try {
      const text = await readRequiredObject(this.#source, digest);
      // Damaged text is not cached: the next attempt may read an intact copy.
      if (objectDigest(text) === digest) this.#fetchedTexts.set(digest, text);
      return text;
    } finally {
      this.#activeReads -= 1;
      this.#waiting.shift()?.();
    }
  }
}
