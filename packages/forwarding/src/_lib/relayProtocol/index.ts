/**
 * Headers between an instance that relays a request and the peer that sends it to an upstream. Callers and
 * upstreams never see them.
 */
import type { ServiceName, UpstreamId } from '@acaciacrank/base';
import type { UpstreamRun } from '@acaciacrank/routing';
import * as z from 'zod';

/** Id of the instance that relays the request; the peer does not relay it again. */
export const relayedByHeader = 'acaciacrank-relayed-by';
/**
 * The link key of the peer or of the relaying instance, which only instances know. Without it the headers of a relay are
 * a caller's and mean nothing.
 */
export const relayKeyHeader = 'acaciacrank-relay-key';
/** Id of the upstream that the response originates from. */
export const relayUpstreamHeader = 'acaciacrank-upstream';
/** The run of the upstream that began the stream: in a request that continues with it, and in its response. */
export const relayOriginHeader = 'acaciacrank-origin';
/** Present on a refusal that another peer need not give: this one cannot take requests or reaches no upstream. */
export const relayRefusedHeader = 'acaciacrank-relay-refused';
/** Id of the relayed request in each response to it, whether the response is the upstream's or the peer's own. */
export const relayRequestHeader = 'acaciacrank-relayed-request';
/** Number of upstreams to which the peer may send the request; without it, as many as the route allows. */
export const relayMaxSendsHeader = 'acaciacrank-max-sends';
/** Present on a response whose body the upstream has given no length; the peer has stated that of what it received. */
export const relayUnframedHeader = 'acaciacrank-unframed';

/** All of them; a codec removes them from what it passes on. */
export const relayHeaders: ReadonlySet<string> = new Set([
  relayedByHeader,
  relayUpstreamHeader,
  relayOriginHeader,
  relayRefusedHeader,
  relayRequestHeader,
  relayMaxSendsHeader,
  relayUnframedHeader,
  relayKeyHeader,
]);

const originSchema = z.tuple([
  z.string(),
  z.string(),
  z.number().nullable(),
  z.string().nullable(),
]);

/** Formats the run that began a stream as the value of {@link relayOriginHeader}. */
export function formatOrigin(run: UpstreamRun): string {
  const { service, upstreamId, startedAtMs = null, softwareVersion = null } = run;
  return encodeURIComponent(JSON.stringify([service, upstreamId, startedAtMs, softwareVersion]));
}

/** Parses the value of {@link relayOriginHeader}; returns undefined if it names no run. */
export function parseOrigin(value: string | undefined): UpstreamRun | undefined {
  if (value === undefined) return undefined;
  try {
    const parsed = originSchema.parse(JSON.parse(decodeURIComponent(value)));
    const [service, upstreamId, startedAtMs, softwareVersion] = parsed;
    return {
      service: service as ServiceName,
      upstreamId: upstreamId as UpstreamId,
      startedAtMs: startedAtMs ?? undefined,
      softwareVersion: softwareVersion ?? undefined,
    };
  } catch {
    return undefined;
  }
}
