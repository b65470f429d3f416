import { RouterError, type Clock } from '@acaciacrank/base';
import { Agent } from 'undici';
import { z } from 'zod';
import { ObjectStore } from '../ObjectStore/index.js';
import { requestJson, type JsonAnswer } from '../_lib/requestJson/index.js';
import type {
  StoreChanges,
  StoreSnapshot,
  StoredObject,
  WriteCondition,
  WriteResult,
} from '../types.js';

/** Options of {@link HttpObjectStore}. */
export interface HttpObjectStoreOptions {
  /** `http://IP:PORT` of the platform. */
  url: string;
  clock: Clock;
  /** How long a call may take, in milliseconds. */
  timeoutMs?: number;
  /** How long a watch waits at the platform before it answers empty, in milliseconds. */
  watchWaitMs?: number;
}

const storedObjectSchema = z.object({ key: z.string(), version: z.number(), value: z.unknown() });
const changeSchema = z.object({
  key: z.string(),
  revision: z.number(),
  object: storedObjectSchema.optional(),
});
const changesSchema = z.object({ changes: z.array(changeSchema), revision: z.number() });
const snapshotSchema = z.object({ objects: z.array(storedObjectSchema), revision: z.number() });

/**
 * The object API over HTTP: `ETag` carries the version, `If-Match` and `If-None-Match: *` the
 * condition, and a watch is a GET that the platform holds until something changes.
 */
export class HttpObjectStore extends ObjectStore implements AsyncDisposable {
  readonly #agent = new Agent({ connections: 32 });
  readonly #clock: Clock;
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #watchWaitMs: number;

  constructor(options: HttpObjectStoreOptions) {
    super();
    this.#clock = options.clock;
    this.#url = options.url;
    this.#timeoutMs = options.timeoutMs ?? 3_000;
    this.#watchWaitMs = options.watchWaitMs ?? 20_000;
  }

  override async read(key: string): Promise<StoredObject | undefined> {
    const answer = await this.#call('GET', this.#objectUrl(key));
    if (answer.status === 404) return undefined;
    expectStatus(answer, 200);
    return { key, version: versionOf(answer), value: answer.body };
  }

  override async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    const answer = await this.#call('PUT', this.#objectUrl(key), headersFor(condition), value);
    return writeResultOf(answer);
  }

  override async remove(key: string, version: number): Promise<WriteResult> {
    const headers = headersFor({ kind: 'version', version });
    return writeResultOf(await this.#call('DELETE', this.#objectUrl(key), headers));
  }

  override async snapshot(prefix: string): Promise<StoreSnapshot> {
    const url = `${this.#url}/objects?prefix=${encodeURIComponent(prefix)}`;
    const answer = await this.#call('GET', url);
    expectStatus(answer, 200);
    return snapshotSchema.parse(answer.body);
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    const query = `prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&waitMs=${this.#watchWaitMs}`;
    const answer = await requestJson(this.#clock, this.#agent, {
      method: 'GET',
      url: `${this.#url}/watch?${query}`,
      timeoutMs: this.#watchWaitMs + this.#timeoutMs,
      signal,
    });
    expectStatus(answer, 200);
    return changesSchema.parse(answer.body) as StoreChanges;
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#agent.destroy();
  }

  #objectUrl(key: string): string {
    return `${this.#url}/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
  }

  #call(
    method: 'GET' | 'PUT' | 'DELETE',
    url: string,
    headers: Record<string, string> = {},
    body?: unknown,
  ): Promise<JsonAnswer> {
    const call = { method, url, headers, body, timeoutMs: this.#timeoutMs };
    return requestJson(this.#clock, this.#agent, call);
  }
}

function headersFor(condition: WriteCondition): Record<string, string> {
  if (condition.kind === 'absent') return { 'if-none-match': '*' };
  if (condition.kind === 'version') return { 'if-match': `"${condition.version}"` };
  return {};
}

function writeResultOf(answer: JsonAnswer): WriteResult {
  if (answer.status === 412) return { outcome: 'conflict' };
  expectStatus(answer, 200);
  return { outcome: 'written', version: versionOf(answer) };
}

function versionOf(answer: JsonAnswer): number {
  const version = Number(answer.etag?.replaceAll('"', ''));
  if (Number.isSafeInteger(version)) return version;
  throw new RouterError('storeUnavailable', 'the platform answered without a version');
}

function expectStatus(answer: JsonAnswer, status: number): void {
  if (answer.status === status) return;
  throw new RouterError('storeUnavailable', `the platform answered ${answer.status}`);
}
