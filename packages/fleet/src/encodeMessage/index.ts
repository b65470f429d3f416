/**
 * Encoding of messages between instances, as MessagePack.
 *
 * The entry points `msgpackr/pack` and `msgpackr/unpack` never load msgpackr's native string
 * reader, which the main entry point loads where available. With the native reader, about one test
 * run in twenty decoded a heartbeat with its strings in the wrong fields.
 */
import { pack } from 'msgpackr/pack';
import { unpack } from 'msgpackr/unpack';
import { fleetMessageSchema } from '../messageSchemas/index.js';
import type { FleetMessage } from '../types.js';

/**
 * Encodes a handshake message or any other message as one frame.
 *
 * @example
 * encodeFrame({ welcome: true }).length;
 * //=> 10
 */
export function encodeFrame(value: unknown): Uint8Array {
  return pack(value);
}

/**
 * Decodes a frame from a peer without validating it.
 *
 * @returns the value; undefined when the frame is malformed or truncated
 *
 * @example
 * decodeFrame(encodeFrame({ welcome: true }));
 * //=> { welcome: true }
 */
export function decodeFrame(frame: Uint8Array): unknown {
  try {
    return unpack(frame) as unknown;
  } catch {
    return undefined;
  }
}

/**
 * Decodes and validates a message.
 *
 * @returns the message; undefined when it is malformed or of an unknown kind
 *
 * @example
 * decodeMessage(encodeFrame({ kind: 'configurationChanged', version: 2 }))?.kind;
 * //=> 'configurationChanged'
 */
export function decodeMessage(frame: Uint8Array): FleetMessage | undefined {
  return fleetMessageSchema.safeParse(decodeFrame(frame)).data;
}
