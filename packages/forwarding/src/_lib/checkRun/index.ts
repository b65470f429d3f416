import type { Clock } from '@acaciacrank/base';
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
 * @param codec - how the deployment's upstreams are asked
 * @param options - for how long
 *
 * @example
 * await checkRun(connection, record.startedAtMs, codec, { clock, signal, timeoutMs: 300 });
 */
export async function checkRun(
  connection: UpstreamConnection,
  startedAtMs: number | undefined,
  codec: Pick<ForwardCodec, 'runReportPath' | 'readRunStart'>,
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
    if (answer.statusCode !== 200) return notStated(`status ${answer.statusCode}`);
    const reported = codec.readRunStart(collector.body.toString('utf8'));
    if (reported === undefined) return notStated('not in the answer');
    if (startedAtMs === undefined) return notStated('not in the record');
    return { check: reported === startedAtMs ? 'same' : 'other' };
  } catch (thrown) {
    if (excess.signal.aborted) return notStated('the answer exceeds its size');
    return notStated(signal.aborted ? 'no answer in time' : (thrown as Error).message);
  }
}

function notStated(why: string): RunCheckResult {
  return { check: 'notStated', why };
}
