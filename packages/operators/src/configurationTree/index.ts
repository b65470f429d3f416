/**
 * A Merkle radix tree that stores the accounts and API keys of an accepted document.
 *
 * Its shape depends only on its entries, and each node is content-addressed by the digest of its
 * text. Two versions therefore share every node except those on the path to a changed entry: changing
 * one account of 2,300 means writing, fetching and indexing a few small objects, not the whole tree.
 */
import { digestText, hashText, RouterError } from '@acaciacrank/base';
import * as z from 'zod';

/**
 * Approximate maximum size of a leaf's text in bytes; a larger leaf is split. Smaller leaves mean
 * more objects to read at start-up, larger ones more bytes to transfer per change. To compare
 * sizes, run `npm run experiment -- configuration-size`.
 */
export const maxLeafBytes = 8_192;

/** Length of a node's digest in hexadecimal digits (128 bits); the rest of the hash is cut off. */
const digestHexDigits = 32;

/** Length of each half of a path in hexadecimal digits. */
const hashHexDigits = 8;

/** An account without its budgets. */
export interface AccountHead {
  readonly keyDigests: readonly string[];
  readonly weighs?: 'overspend' | 'falseRefusals' | undefined;
}

/** The part of an account in one leaf. `head` is in exactly one leaf; budgets may span several. */
export interface AccountPart {
  readonly head?: AccountHead | undefined;
  /** Opening tokens by budget id. */
  readonly budgets: ReadonlyMap<string, number>;
}

/** One entry of a tree: the head of an account, a budget or a key. */
export type TreeEntry =
  | {
      readonly kind: 'head';
      readonly path: string;
      readonly id: string;
      readonly head: AccountHead;
    }
  | {
      readonly kind: 'budget';
      readonly path: string;
      readonly id: string;
      readonly budgetId: string;
      readonly openingTokens: number;
    }
  | { readonly kind: 'key'; readonly path: string; readonly id: string; readonly digest: string };

const name = z.string().max(128);
const headSchema = z.strictObject({
  keyDigests: z.array(name),
  weighs: z.enum(['overspend', 'falseRefusals']).optional(),
});
const leafSchema = z.strictObject({
  accounts: z
    .record(
      name,
      z.strictObject({
        head: headSchema.optional(),
        budgets: z.record(name, z.number().int().nonnegative()),
      }),
    )
    .optional(),
  /** Account ids by key digest. */
  keys: z.record(name, name).optional(),
});
const branchSchema = z.strictObject({
  /** Index of the path digit by which the children are selected. */
  at: z.number().int().nonnegative(),
  children: z.record(z.string().regex(/^[0-9a-f]$/), name),
});

type LeafValue = z.infer<typeof leafSchema>;

/** A node without children. */
export class TreeLeaf {
  readonly kind = 'leaf';
  readonly digest: string;
  readonly text: string;
  #accounts: ReadonlyMap<string, AccountPart> | undefined;
  #keys: ReadonlyMap<string, string> | undefined;

  constructor(text: string) {
    this.text = text;
    this.digest = objectDigest(text);
  }

  /** Accounts by id; parsed on first access, because most leaves are never accessed. */
  get accounts(): ReadonlyMap<string, AccountPart> {
    this.#accounts ??= new Map(
      Object.entries((JSON.parse(this.text) as LeafValue).accounts ?? {}).map(([id, part]) => [
        id,
        { ...part, budgets: new Map(Object.entries(part.budgets)) },
      ]),
    );
    return this.#accounts;
  }

  /** Account ids by key digest. */
  get keys(): ReadonlyMap<string, string> {
    this.#keys ??= new Map(Object.entries((JSON.parse(this.text) as LeafValue).keys ?? {}));
    return this.#keys;
  }
}

/** A node whose children are selected by one digit of the path. */
export class TreeBranch {
  readonly kind = 'branch';
  readonly digest: string;
  readonly text: string;
  readonly at: number;
  readonly children: ReadonlyMap<string, TreeNode>;

  constructor(at: number, children: ReadonlyMap<string, TreeNode>) {
    this.at = at;
    this.children = children;
    const digests = [...children].map(([digit, child]) => [digit, child.digest]);
    this.text = JSON.stringify({ at, children: Object.fromEntries(digests) });
    this.digest = objectDigest(this.text);
  }
}

export type TreeNode = TreeLeaf | TreeBranch;

/** A node as parsed from its text; a branch maps path digits to the digests of its children. */
export type ParsedNode =
  | { readonly kind: 'leaf' }
  | {
      readonly kind: 'branch';
      readonly at: number;
      readonly children: ReadonlyMap<string, string>;
    };

/**
 * Computes the content address of an object: the truncated digest of its text.
 *
 * @example
 * objectDigest('{}').length;
 * //=> 32
 */
export function objectDigest(text: string): string {
  return digestText(text).slice(0, digestHexDigits);
}

/** The path of an account's head entry. */
export function accountPath(accountId: string): string {
  return toHexHash(accountId).padEnd(2 * hashHexDigits, '0');
}

/** The path of a budget; it shares a prefix with the account's other budgets. */
export function budgetPath(accountId: string, budgetId: string): string {
  return toHexHash(accountId) + toHexHash(budgetId);
}

/** The path of an API key, taken from its digest. */
export function keyPath(digest: string): string {
  return digest.slice(0, 2 * hashHexDigits);
}

/**
 * Builds a tree.
 *
 * @param entries - the entries, in any order
 * @param leafBytes - approximate maximum size of a leaf in bytes; a larger leaf is split
 * @returns the root node
 *
 * @example
 * const root = buildTree([{ kind: 'key', path: keyPath(digest), id: 'wellington', digest }]);
 */
export function buildTree(
  entries: readonly TreeEntry[],
  leafBytes: number = maxLeafBytes,
): TreeNode {
  const sorted = [...entries].sort(
    (a, b) => compare(a.path, b.path) || compare(sortKeyOf(a), sortKeyOf(b)),
  );
  return buildNode(sorted, 0, leafBytes);
}

/** Finds the leaf in which an entry with this path would be stored, if there is one. */
export function findLeaf(root: TreeNode, path: string): TreeLeaf | undefined {
  let node: TreeNode | undefined = root;
  while (node?.kind === 'branch') node = node.children.get(path[node.at] ?? '');
  return node;
}

/** Yields all leaves, in path order. */
export function* leavesOf(node: TreeNode): Generator<TreeLeaf> {
  if (node.kind === 'leaf') yield node;
  else for (const child of node.children.values()) yield* leavesOf(child);
}

/** Yields a node and all its descendants. */
export function* nodesOf(node: TreeNode): Generator<TreeNode> {
  yield node;
  if (node.kind === 'branch') for (const child of node.children.values()) yield* nodesOf(child);
}

/**
 * Verifies the text of a node against its digest and parses it.
 *
 * @throws RouterError `badDocument` if the digest does not match or the text is not a valid node
 */
export function parseNode(digest: string, text: string): ParsedNode {
  const value = parseVerifiedObject(digest, text);
  const branch = branchSchema.safeParse(value);
  if (branch.success) {
    return {
      kind: 'branch',
      at: branch.data.at,
      children: new Map(Object.entries(branch.data.children)),
    };
  }
  if (leafSchema.safeParse(value).success) return { kind: 'leaf' };
  throw new RouterError('badDocument', `configuration object ${digest} is not a valid tree node`);
}

/**
 * Verifies the text of an object against its digest and parses it as JSON.
 *
 * @throws RouterError `badDocument` if the digest does not match or the text is not JSON
 */
export function parseVerifiedObject(digest: string, text: string): unknown {
  if (objectDigest(text) !== digest) {
    throw new RouterError(
      'badDocument',
      `configuration object ${digest} is damaged: its content does not match its digest`,
    );
  }
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new RouterError('badDocument', `configuration object ${digest} is not valid JSON`, {
      cause: error as Error,
    });
  }
}

function buildNode(entries: readonly TreeEntry[], depth: number, leafBytes: number): TreeNode {
  const first = entries[0]?.path ?? '';
  const last = entries.at(-1)?.path ?? '';
  const at = findFirstDifference(first, last, depth);
  const bytes = entries.reduce((sum, entry) => sum + estimateBytes(entry), 0);
  // Entries with the same path cannot be split any further, so they share a leaf of any size.
  if (bytes <= leafBytes || first === last) return new TreeLeaf(serializeLeaf(entries));
  const groups = new Map<string, TreeEntry[]>();
  for (const entry of entries) {
    const digit = entry.path[at] ?? '';
    const group = groups.get(digit);
    if (group === undefined) groups.set(digit, [entry]);
    else group.push(entry);
  }
  return new TreeBranch(
    at,
    new Map([...groups].map(([digit, group]) => [digit, buildNode(group, at + 1, leafBytes)])),
  );
}

function serializeLeaf(entries: readonly TreeEntry[]): string {
  const accounts: Record<string, { head?: AccountHead; budgets: Record<string, number> }> = {};
  const keys: Record<string, string> = {};
  for (const entry of entries) {
    if (entry.kind === 'key') {
      keys[entry.digest] = entry.id;
      continue;
    }
    // hasOwn, because an id such as `constructor` would otherwise be found on Object.prototype.
    // Ids begin with a letter or digit, so `__proto__` cannot occur.
    if (!Object.hasOwn(accounts, entry.id)) accounts[entry.id] = { budgets: {} };
    const part = accounts[entry.id];
    if (part === undefined) continue;
    if (entry.kind === 'head') part.head = entry.head;
    else part.budgets[entry.budgetId] = entry.openingTokens;
  }
  return JSON.stringify({
    ...(Object.keys(accounts).length > 0 ? { accounts } : {}),
    ...(Object.keys(keys).length > 0 ? { keys } : {}),
  });
}

/** Estimates how many bytes an entry adds to its leaf's text. */
function estimateBytes(entry: TreeEntry): number {
  if (entry.kind === 'key') return entry.digest.length + entry.id.length + 6;
  if (entry.kind === 'head') return entry.id.length + 50 + entry.head.keyDigests.length * 67;
  return entry.budgetId.length + String(entry.openingTokens).length + 4;
}

function sortKeyOf(entry: TreeEntry): string {
  if (entry.kind === 'key') return entry.digest;
  return entry.kind === 'head' ? entry.id : `${entry.id} ${entry.budgetId}`;
}

function findFirstDifference(a: string, b: string, from: number): number {
  let at = from;
  while (at < a.length && a[at] === b[at]) at += 1;
  return at;
}

function toHexHash(text: string): string {
  return hashText(text).toString(16).padStart(hashHexDigits, '0');
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
