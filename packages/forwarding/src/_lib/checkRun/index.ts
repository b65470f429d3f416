import type { Client } from 'undici';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import { BodyCollector } from '../BodyCollector/index.js';

/** Whether an upstream is the run that its record names: `notStated` if it does not say. */
export type RunCheck = 'same' | 'other' | 'notStated';

/** Time limit for the answer, in milliseconds. */
const timeoutMs = 300;
/** Maximum size of the answer, in bytes. */
const maxBytes = 65_536;

/**
 * Asks an upstream which run it is, over the connection that is then used: it leads to the same run while it is open.
 *
 * @param client - the connection, without any other request in progress
 * @param startedAtMs - the start of the run that the record names
 * @param codec - how the deployment's upstreams are asked
 *
 * @example
 * await checkRun(connection.client, record.startedAtMs, codec);
 */
export async function checkRun(
  client: Client,
  startedAtMs: number | undefined,
  codec: Pick<ForwardCodec, 'runReportPath' | 'readRunStart'>,
): Promise<RunCheck> {
  try {
    const signal = AbortSignal.timeout(timeoutMs);
    const answer = await client.request({ method: 'GET', path: codec.runReportPath, signal });
    const collector = new BodyCollector(maxBytes);
    for await (const chunk of answer.body as AsyncIterable<Buffer>) collector.add(chunk);
    if (answer.statusCode !== 200) return 'notStated';
    const reported = codec.readRunStart(collector.body.toString('utf8'));
    if (reported === undefined || startedAtMs === undefined) return 'notStated';
    return reported === startedAtMs ? 'same' : 'other';
  } catch {
    return 'notStated';
  }
}
