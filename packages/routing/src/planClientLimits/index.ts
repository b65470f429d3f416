/**
 * How much of an instance its clients may use: the one home of these limits, with their arithmetic.
 */
import {
  bytesInKibibyte,
  bytesInMebibyte,
  millisecondsInSecond,
  type ClientLimits,
  type MachineLimits,
} from '@acaciacrank/base';

/** Limits of all ports of one instance. */
export interface ClientLimitPlan {
  /** Requests, at either request path. */
  readonly callers: ClientLimits & {
    /** Size of all bodies that are held, in bytes. */
    readonly maxHeldBytes: number;
    /** Size of all buffers of the process, those included that are not collected yet, in bytes. */
    readonly maxBufferBytes: number;
  };
  readonly directory: ClientLimits;
  /** The probes of the platform, the metrics and the operators: one port each. */
  readonly status: ClientLimits;
  /** Links from other instances. */
  readonly fleet: ClientLimits & {
    /** Number of connections of peers that have shown who they are. */
    readonly maxPeers: number;
  };
}

/** What a process holds at rest, with its tables, links and connections to upstreams, in bytes. */
const restBytes = 112 * bytesInMebibyte;
/** Size of the buffers of a process at rest, in bytes. */
const restBufferBytes = 8 * bytesInMebibyte;
/** Assumed at least for clients; a machine with less is too small. */
const minClientBytes = 24 * bytesInMebibyte;
/** What one connection holds: socket, parser and what waits in the kernel, in bytes. */
export const connectionBytes = 16 * bytesInKibibyte;
/** What one unanswered request holds besides its body: messages, steps, places in queues, its response, in bytes. */
export const requestBytes = 24 * bytesInKibibyte;
/** What its connection to an upstream holds, with what was read of the response and is not sent, in bytes. */
export const upstreamExchangeBytes = 40 * bytesInKibibyte;

/**
 * How the memory of clients is divided: shares for requests, for what was released and is not collected yet, for the
 * directory, and for each of four ports.
 */
const shares = {
  bodies: 0.2,
  uncollected: 0.12,
  requests: 0.3,
  connections: 0.18,
  heads: 0.08,
  directory: 0.04,
  otherPort: 0.02,
} as const;
/** More is not needed on any machine, and would not fit the heap. */
const maxima = { heldBytes: 64 * bytesInMebibyte, requests: 1_024, connections: 4_096 } as const;

/** Descriptors that the process keeps for its files. */
const fileDescriptors = 200;
/**
 * How the other descriptors are divided: each request may have a connection to an upstream of its own. The rest is for the
 * store, the other ports and links that this instance opens.
 */
const descriptorShares = { callers: 0.45, requests: 0.35, directory: 0.05, peers: 0.1 } as const;

/** Connections of the ports that few use, and of peers. */
const otherConnections = { status: 32, fleetHandshakes: 32, maxPeers: 1_024 } as const;
/** Unanswered requests of one connection. A client that waits for each response has one. */
const maxRequestsAhead = { callers: 8, others: 4 } as const;
/** How long a client may read nothing of a complete response, in milliseconds. */
const stallTimeoutMs = 10 * millisecondsInSecond;

/**
 * Divides what a machine has among the clients of an instance, so that it adds up to what the machine has whatever they
 * do: what the process holds at rest, bodies, unanswered requests, connections and incomplete heads.
 *
 * @param machine - what the process may use
 *
 * @example
 * planClientLimits({ memoryBytes: 255 * bytesInMebibyte, descriptors: 6_150 }).callers.maxRequests;
 * //=> 686
 */
export function planClientLimits({ memoryBytes, descriptors }: MachineLimits): ClientLimitPlan {
  const clientBytes = Math.max(minClientBytes, memoryBytes - restBytes);
  const free = Math.max(0, descriptors - fileDescriptors);
  const fit = (share: number, eachBytes: number) => Math.floor((clientBytes * share) / eachBytes);
  const maxConnections = Math.min(
    fit(shares.connections, connectionBytes),
    Math.floor(free * descriptorShares.callers),
  );
  const directoryConnections = Math.min(
    fit(shares.directory, connectionBytes),
    Math.floor(free * descriptorShares.directory),
  );
  const maxRequests = Math.min(
    fit(shares.requests, requestBytes + upstreamExchangeBytes),
    Math.floor(free * descriptorShares.requests),
  );
  const others = {
    maxRequestsAhead: maxRequestsAhead.others,
    maxHeadBytes: clientBytes * shares.otherPort,
    stallTimeoutMs,
  };
  return {
    callers: {
      maxConnections: atLeastOne(Math.min(maxima.connections, maxConnections)),
      maxRequestsAhead: maxRequestsAhead.callers,
      maxRequests: atLeastOne(Math.min(maxima.requests, maxRequests)),
      maxHeadBytes: clientBytes * shares.heads,
      maxHeldBytes: Math.min(maxima.heldBytes, clientBytes * shares.bodies),
      maxBufferBytes: restBufferBytes + clientBytes * (shares.bodies + shares.uncollected),
      stallTimeoutMs,
    },
    directory: limitRequests({ ...others, maxConnections: atLeastOne(directoryConnections) }),
    status: limitRequests({ ...others, maxConnections: otherConnections.status }),
    fleet: {
      ...limitRequests({ ...others, maxConnections: otherConnections.fleetHandshakes }),
      maxPeers: atLeastOne(
        Math.min(otherConnections.maxPeers, Math.floor(free * descriptorShares.peers)),
      ),
    },
  };
}

/** Their responses are complete at once, so that a connection that reads has no unanswered request for long. */
function limitRequests(limits: Omit<ClientLimits, 'maxRequests'>): ClientLimits {
  return { ...limits, maxRequests: limits.maxConnections };
}

function atLeastOne(count: number): number {
  return Math.max(1, count);
}
