import type { IncomingHttpHeaders } from 'node:http';
import type {
  AnswerHead,
  CallHead,
  ForwardConfiguration,
  UpstreamFields,
  UpstreamRecord,
} from '../types.js';
import type { StoredObject } from '@acaciacrank/store';

/** Header names and values in turn, as they stood on the wire. */
export type RawHeaders = readonly string[];

/** Turns a deployment's names into the project's types, and back. */
export abstract class ForwardCodec {
  /** Where the configuration lies in the store. */
  abstract readonly configurationKey: string;
  /** Where the upstreams' records lie in the store. */
  abstract readonly upstreamPrefix: string;

  /**
   * Reads a configuration.
   *
   * @throws RouterError `badDocument` naming what is wrong
   */
  abstract readConfiguration(stored: StoredObject): ForwardConfiguration;

  /** Reads an upstream's record; undefined where it names no upstream to use. */
  abstract readUpstream(stored: StoredObject): UpstreamRecord | undefined;

  /** Reads the headers of a caller's request. */
  abstract readCall(headers: IncomingHttpHeaders): CallHead;

  /** Makes the headers that an upstream gets from those that the caller sent. */
  abstract upstreamHeaders(callerHeaders: RawHeaders, fields: UpstreamFields): string[];

  /** Reads the headers of an upstream's answer. */
  abstract readAnswer(status: number, headers: RawHeaders): AnswerHead;

  /** Makes the headers that a caller gets from those that the upstream sent. */
  abstract callerHeaders(upstreamHeaders: RawHeaders): string[];
}
