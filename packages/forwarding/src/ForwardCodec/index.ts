import type { IncomingHttpHeaders } from 'node:http';
import type {
  ResponseHead,
  RequestHead,
  ForwardConfiguration,
  RelayFields,
  UpstreamRequestFields,
  UpstreamRecord,
} from '../types.js';
import type { StoredObject } from '@acaciacrank/store';

/** Header names and values alternately, as received. */
export type RawHeaders = readonly string[];

/** Converts between the formats of a deployment and the types of this package. */
export abstract class ForwardCodec {
  /** The key of the configuration in the store. */
  abstract readonly configurationKey: string;
  /** The prefix of upstream records' keys in the store. */
  abstract readonly upstreamPrefix: string;
  /**
   * The prefix of the store's keys that each name a failure domain to drain: its upstreams get no new
   * requests until the object is removed.
   */
  abstract readonly domainDrainPrefix: string;

  /** The path at which an upstream reports on itself. */
  abstract readonly runReportPath: string;

  /**
   * Parses a configuration.
   *
   * @throws RouterError `badDocument` that states what is wrong
   */
  abstract readConfiguration(stored: StoredObject): ForwardConfiguration;

  /**
   * Parses an upstream record.
   *
   * @param stored - the record, which any writer may have left in any form
   * @param onProblem - called with what is wrong with a record that cannot be used
   * @returns undefined if it does not describe a usable upstream
   */
  abstract readUpstream(
    stored: StoredObject,
    onProblem?: (problem: string) => void,
  ): UpstreamRecord | undefined;

  /** Parses when the run of an upstream started from its report, in milliseconds since 1970; undefined if not stated. */
  abstract readRunStart(report: string): number | undefined;

  /** Parses the headers of a caller's request. */
  abstract readRequestHead(headers: IncomingHttpHeaders): RequestHead;

  /** Creates the headers to send to an upstream from the caller's headers. */
  abstract upstreamHeaders(callerHeaders: RawHeaders, fields: UpstreamRequestFields): string[];

  /** Creates the headers to send to a peer that relays the request, the caller's key included. */
  abstract relayHeaders(callerHeaders: RawHeaders, fields: RelayFields): string[];

  /** Parses the headers of an upstream's response. */
  abstract readResponseHead(status: number, headers: RawHeaders): ResponseHead;

  /** Creates the headers to send to the caller from the upstream's headers. */
  abstract callerHeaders(upstreamHeaders: RawHeaders): string[];
}
