import type { Clock } from '@acaciacrank/base';
import type { Dispatcher } from 'undici';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import { BodyCollector } from '../BodyCollector/index.js';
import type { UpstreamConnection } from '../UpstreamConnection/index.js';

/** Whether an upstream is the run that its record names: `notStated` if it does not say. */
export type RunCheck = 'same' | 'other' | 'notStated';

/** The outcome of a check, and why an upstream did not say which run it is. */
export interface RunCheckResult {
  readonly check: RunCheck;
  readonly why?: string | undefined;
}

/** Options of {@link checkRun}. */
export interface CheckRunOptions {
  readonly clock: Clock;
  /** Ends the check. */
  readonly signal: AbortSignal;
  /** Time limit for the answer, in milliseconds; undefined for none. */
  readonly timeoutMs: number | undefined;
}

/** Maximum size of the answer's body, in bytes. */
const maxBytes = 65_536;
/** Maximum size of the answer with its head and framing, in bytes. */
const maxReadBytes = 2 * maxBytes;

/**
 * Asks an upstream which run it is, over the connection that is then used: it leads to the same run while it is open.
 *
 * @param connection - the connection, without any other request in progress
 * @param startedAtMs - the start of the run that the record names
 * @param codec - how the deployment's upstreams are queried
 * @param options - for how long
 *
 * @example
 * await checkRun(connection, record.startedAtMs, codec, { clock, signal, timeoutMs: 300 });
 */
export async function checkRun(
  connection: UpstreamConnection,
  startedAtMs: number | undefined,
  codec: RunReportCodec,
  { clock, signal: abortSignal, timeoutMs }: CheckRunOptions,
): Promise<RunCheckResult> {
  const timeout = new AbortController();
  using _timer =
    timeoutMs === undefined
      ? undefined
      : clock.scheduleActive(timeoutMs, () => {
          timeout.abort();
        });
  const excess = new AbortController();
  const signal = AbortSignal.any([abortSignal, timeout.signal, excess.signal]);
  let readBytes = 0;
  // Guards against an answer without end of which the HTTP client passes nothing on.
  using _watch = connection.watch((bytes) => {
    readBytes += bytes;
    if (readBytes > maxReadBytes) excess.abort();
  });
  try {
    const answer = await connection.client.request({
      method: 'GET',
      path: codec.runReportPath,
      signal,
    });
    const collector = new BodyCollector(maxBytes);
    for await (const chunk of answer.body as AsyncIterable<Buffer>) collector.add(chunk);
    const isReport = answer.statusCode === 200 && !namesRequest(answer, codec);
    const reported = isReport ? codec.readRunStart(collector.body.toString('utf8')) : undefined;
    if (reported === undefined) return rejectAnswer(connection, answer, codec);
    if (startedAtMs === undefined) return notStated('not in the record');
    return { check: reported === startedAtMs ? 'same' : 'other' };
  } catch (thrown) {
    if (excess.signal.aborted) return notStated('the answer exceeds its size');
    return notStated(signal.aborted ? 'no answer in time' : (thrown as Error).message);
  }
}

type RunReportCodec = Pick<ForwardCodec, 'runReportPath' | 'readRunStart' | 'readResponseHead'>;

/**
 * Guards against a late response to an earlier request in place of the report: the report would then be taken for the
 * response to the next request, and each response for that to the one after it.
 */
function rejectAnswer(
  connection: UpstreamConnection,
  answer: Dispatcher.ResponseData,
  codec: RunReportCodec,
): RunCheckResult {
  const isForeign = namesRequest(answer, codec);
  if (isForeign || !connection.isFirstRequest) connection.reset();
  if (isForeign) return notStated('a response to a different request');
  const { statusCode } = answer;
  return notStated(statusCode === 200 ? 'not in the answer' : `status ${statusCode}`);
}

/** The report is requested without a request id, so that a response with one belongs to another request. */
function namesRequest({ statusCode, headers }: Dispatcher.ResponseData, codec: RunReportCodec) {
  const rawHeaders = Object.entries(headers).flatMap(([name, value]) => [name, String(value)]);
  const { requestId = '' } = codec.readResponseHead(statusCode, rawHeaders);
  return requestId !== '';
}

function notStated(why: string): RunCheckResult {
  return { check: 'notStated', why };
}
