import type { Readable } from 'node:stream';
import { BodyCollector } from '../BodyCollector/index.js';
import { maxBodyBytes, type ResponseMemory } from '../ResponseMemory/index.js';

/** Options of {@link collectBody}. */
export interface CollectBodyOptions {
  /** Bounds the body together with others. */
  readonly memory: ResponseMemory;
  /** Whether other bytes of the sender were no answer a short while ago. */
  readonly isSuspect: () => boolean;
  /** Called with the size of each part. */
  readonly onBytes: (bytes: number) => void;
  /** Called when the first bytes arrive, and again each time that a minimum of further ones has arrived. */
  readonly onProgress: () => void;
}

/** A trickle of fewer bytes within a timeout is no progress. */
const minProgressBytes = 4_096;

/**
 * Reads a body as a whole, within the bound that it shares with others.
 *
 * @throws NoAnswerError if it exceeds its bounds or gives way to others
 *
 * @example
 * const body = await collectBody(answer.body, { memory, isSuspect, onBytes, onProgress });
 */
export async function collectBody(
  parts: Readable,
  { memory, isSuspect, onBytes, onProgress }: CollectBodyOptions,
): Promise<Buffer> {
  const collector = new BodyCollector(maxBodyBytes);
  using held = memory.open({ isSuspect, onGiveWay: (error) => parts.destroy(error) });
  let progressBytes = -minProgressBytes;
  for await (const part of parts as AsyncIterable<Buffer>) {
    onBytes(part.byteLength);
    collector.add(part);
    const { bytes } = collector;
    if (bytes - progressBytes >= minProgressBytes) {
      progressBytes = bytes;
      onProgress();
    }
    await held.setBytes(bytes);
  }
  return collector.body;
}
