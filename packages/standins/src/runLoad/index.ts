import { createRandom, millisecondsInSecond, SystemClock, type Random } from '@acaciacrank/base';
import { createParser } from 'eventsource-parser';
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request, type Dispatcher } from 'undici';

/** One kind of request that callers of a deployment send, with its rate. */
export interface TrafficKind {
  readonly className: string;
  readonly accountKey: string;
  readonly budgetId: string;
  /** Average request rate; the intervals are exponentially distributed. */
  readonly requestsPerSecond: number;
  readonly target:
    | {
        readonly kind: 'chat';
        readonly model: string;
        readonly promptBytes: number;
        readonly maxTokens: number;
      }
    | {
        readonly kind: 'service';
        readonly service: string;
        readonly method: string;
        readonly path: string;
      };
}

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  /** `http://IP:PORT` of instances whose directory is requested, in order of preference. */
  urls: readonly string[];
  traffic: readonly TrafficKind[];
  durationMs: number;
  seed?: number;
}

/** What the callers of one class observed. */
export interface ClassOutcome {
  readonly className: string;
  answered: number;
  refused: number;
  /** Requests that failed without a refusal, for example because the stream broke. */
  brokenOff: number;
  billedTokens: number;
  readonly firstTokenMs: Histogram;
  readonly tokenGapMs: Histogram;
  /** Number of errors by kind. */
  readonly errors: Map<string, number>;
  /** Number of refusals by budget. */
  readonly refusedByBudget: Map<string, number>;
}

interface Endpoint {
  readonly url: string;
  readonly dispatcher: Dispatcher;
}

/**
 * Load generator: for each request, looks up an instance in the directory and calls it, as callers do.
 *
 * @param options - the instances, the traffic and the duration
 * @returns what the callers of each class observed
 *
 * @example
 * const outcomes = await runLoad({ urls, traffic, durationMs: 5_000 });
 */
export async function runLoad(options: RunLoadOptions): Promise<ClassOutcome[]> {
  const dispatcher = new Agent({ connections: 128 });
  const random = createRandom(options.seed ?? 1);
  const clock = new SystemClock();
  const outcomes = new Map<string, ClassOutcome>();
  const pending: Promise<void>[] = [];
  const startedMs = clock.monotonicMs();
  const senders = options.traffic.map(async (kind, kindIndex) => {
    const outcome = outcomes.get(kind.className) ?? emptyOutcome(kind.className);
    outcomes.set(kind.className, outcome);
    for (let count = 0; clock.monotonicMs() - startedMs < options.durationMs; count += 1) {
      await clock.sleep(exponentialMs(random, kind.requestsPerSecond));
      const url = await lookUpInstance(options.urls, dispatcher, kind.accountKey);
      const key = `load-${options.seed ?? 1}-${kindIndex}-${count}`;
      pending.push(sendRequest({ url, dispatcher }, kind, key, outcome));
    }
  });
  await Promise.all(senders);
  await Promise.all(pending);
  await dispatcher.close();
  return [...outcomes.values()];
}

function emptyOutcome(className: string): ClassOutcome {
  const histogram = () =>
    build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: 600_000,
      numberOfSignificantValueDigits: 2,
    });
  return {
    className,
    answered: 0,
    refused: 0,
    brokenOff: 0,
    billedTokens: 0,
    firstTokenMs: histogram(),
    tokenGapMs: histogram(),
    errors: new Map(),
    refusedByBudget: new Map(),
  };
}

function exponentialMs(random: Random, perSecond: number): number {
  return (-Math.log(1 - random()) / perSecond) * millisecondsInSecond;
}

async function lookUpInstance(
  urls: readonly string[],
  dispatcher: Dispatcher,
  accountKey: string,
): Promise<string> {
  for (const url of urls) {
    const headers = { authorization: `Bearer ${accountKey}` };
    const response = await request(`${url}/directory`, { dispatcher, headers }).catch(
      () => undefined,
    );
    if (response?.statusCode !== 200) continue;
    const { instances } = (await response.body.json()) as { instances: { url: string }[] };
    const [first] = instances;
    if (first !== undefined) return first.url;
  }
  throw new Error('no instance returned a directory entry');
}

async function sendRequest(
  target: Endpoint,
  kind: TrafficKind,
  key: string,
  outcome: ClassOutcome,
): Promise<void> {
  const headers = {
    authorization: `Bearer ${kind.accountKey}`,
    'idempotency-key': key,
    'acaciacrank-budget': kind.budgetId,
    'acaciacrank-class': kind.className,
    'content-type': 'application/json',
  };
  const send = kind.target.kind === 'chat' ? sendChat : sendService;
  try {
    await send(target, kind, headers, outcome);
  } catch (error) {
    outcome.brokenOff += 1;
    countError(outcome, (error as Error).message);
  }
}

async function sendChat(
  { url, dispatcher }: Endpoint,
  kind: TrafficKind,
  headers: Record<string, string>,
  outcome: ClassOutcome,
): Promise<void> {
  if (kind.target.kind !== 'chat') return;
  const { model, promptBytes, maxTokens } = kind.target;
  const content = `${headers['idempotency-key'] ?? ''} `.padEnd(promptBytes, 'broth ');
  const body = JSON.stringify({
    model,
    messages: [{ role: 'user', content }],
    max_tokens: maxTokens,
    stream: true,
  });
  const startedMs = performance.now();
  const response = await request(`${url}/v1/chat/completions`, {
    dispatcher,
    method: 'POST',
    headers,
    body,
  });
  if (response.statusCode !== 200) {
    await countRefusal(response, outcome, kind.budgetId);
    return;
  }
  const reader = new StreamReader(outcome, startedMs);
  for await (const chunk of response.body as AsyncIterable<Buffer>)
    reader.feed(chunk.toString('utf8'));
  if (reader.isComplete) outcome.answered += 1;
  else outcome.brokenOff += 1;
}

/** Reads one response stream and measures the time to the first token and between tokens. */
class StreamReader {
  isComplete = false;
  readonly #outcome: ClassOutcome;
  readonly #parser = createParser({
    onEvent: (event) => {
      this.#handleEvent(event.data);
    },
  });
  #lastMs: number;
  #tokens = 0;

  constructor(outcome: ClassOutcome, startedMs: number) {
    this.#outcome = outcome;
    this.#lastMs = startedMs;
  }

  feed(text: string): void {
    this.#parser.feed(text);
  }

  #handleEvent(data: string): void {
    if (data === '[DONE]') return;
    const event = JSON.parse(data) as {
      error?: { kind: string };
      sequence?: number;
      acaciacrank?: { billedTokens: number };
    };
    if (event.error !== undefined) countError(this.#outcome, event.error.kind);
    if (event.acaciacrank !== undefined) {
      this.isComplete = true;
      this.#outcome.billedTokens += event.acaciacrank.billedTokens;
    }
    if (event.sequence === this.#tokens) this.#recordToken();
  }

  #recordToken(): void {
    const nowMs = performance.now();
    const histogram = this.#tokens === 0 ? this.#outcome.firstTokenMs : this.#outcome.tokenGapMs;
    histogram.recordValue(Math.round(nowMs - this.#lastMs));
    this.#lastMs = nowMs;
    this.#tokens += 1;
  }
}

async function sendService(
  { url, dispatcher }: Endpoint,
  kind: TrafficKind,
  headers: Record<string, string>,
  outcome: ClassOutcome,
): Promise<void> {
  if (kind.target.kind !== 'service') return;
  const { service, method, path } = kind.target;
  const startedMs = performance.now();
  const hasBody = method !== 'GET';
  const response = await request(`${url}/services/${service}${path}`, {
    dispatcher,
    method: method as 'GET',
    headers,
    ...(hasBody ? { body: JSON.stringify({ key: headers['idempotency-key'] }) } : {}),
  });
  if (response.statusCode >= 400) {
    await countRefusal(response, outcome, kind.budgetId);
    return;
  }
  await response.body.dump();
  outcome.answered += 1;
  outcome.firstTokenMs.recordValue(Math.round(performance.now() - startedMs));
}

async function countRefusal(
  response: Dispatcher.ResponseData,
  outcome: ClassOutcome,
  budgetId: string,
): Promise<void> {
  const { error } = (await response.body.json()) as { error: { kind: string } };
  outcome.refused += 1;
  const { refusedByBudget } = outcome;
  refusedByBudget.set(budgetId, (refusedByBudget.get(budgetId) ?? 0) + 1);
  countError(outcome, error.kind);
}

function countError(outcome: ClassOutcome, kind: string): void {
  outcome.errors.set(kind, (outcome.errors.get(kind) ?? 0) + 1);
}
