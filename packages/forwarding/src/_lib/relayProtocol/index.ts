/**
 * Headers between an instance that relays a request and the peer that sends it to an upstream. Callers and
 * upstreams never see them.
 */

/** Id of the instance that relays the request; the peer does not relay it again. */
export const relayedByHeader = 'acaciacrank-relayed-by';
/** Id of the upstream that the response comes from. */
export const relayUpstreamHeader = 'acaciacrank-upstream';
/** Present on a refusal that another peer need not give: this one cannot take requests or reaches no upstream. */
export const relayRefusedHeader = 'acaciacrank-relay-refused';

/** All of them; a codec removes them from what it passes on. */
export const relayHeaders: ReadonlySet<string> = new Set([
  relayedByHeader,
  relayUpstreamHeader,
  relayRefusedHeader,
]);
