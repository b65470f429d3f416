/**
 * Configuration of a soak run, in the form in which the operator of the platform writes it.
 */

/** Host of all routes. */
export const host = 'shop.example';
/** Tokens per stream event. */
export const tokensPerEvent = 5;

/** A client account of the soak, with its API key. */
export interface SoakAccount {
  readonly name: string;
  readonly key: string;
  readonly prepaidTokens: number;
}

/** Client accounts: one with ample tokens, one that runs out during the run, one that is nearly empty. */
export const accounts: readonly SoakAccount[] = [
  { name: 'office', key: 'office-key', prepaidTokens: 50_000_000 },
  { name: 'school', key: 'school-key', prepaidTokens: 150_000 },
  { name: 'family', key: 'family-key', prepaidTokens: 20_000 },
];

/** A kind of request that the load generator sends. */
export interface RequestKind {
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly isRepeatable: boolean;
  readonly isStream: boolean;
  /** The service of its route; undefined if it changes. */
  readonly service: string | undefined;
}

/** All kinds of requests; each has its own route. */
export const requestKinds: readonly RequestKind[] = [
  { path: '/read/', method: 'GET', isRepeatable: true, isStream: false, service: 'app' },
  { path: '/pay/', method: 'POST', isRepeatable: false, isStream: false, service: 'app' },
  { path: '/moved/', method: 'GET', isRepeatable: true, isStream: false, service: undefined },
  { path: '/chat/', method: 'POST', isRepeatable: true, isStream: true, service: 'lm' },
  { path: '/plan/', method: 'POST', isRepeatable: false, isStream: true, service: 'lm' },
];

/** Timeout of the routes with plain responses, which is also the time budget that callers send. */
export const timeoutMs = 3_000;
/** The same for streams, so that the longest of them are whole in time also if their upstreams pause. */
export const streamTimeoutMs = 6_000;

/** Returns the timeout of a kind of request, in milliseconds. */
export function timeoutOf(path: string): number {
  return requestKinds.find((kind) => kind.path === path)?.isStream === true
    ? streamTimeoutMs
    : timeoutMs;
}

/** Returns the service of the route `/moved/` in a version; it changes with every version. */
export function movedRouteService(version: number): string {
  return version % 2 === 0 ? 'records' : 'app';
}

/**
 * Builds the configuration document of a version.
 *
 * @param version - increases with each change
 * @param prepaidFactor - multiplies the prepaid tokens; other than 1 only for an injected defect
 */
export function buildSoakConfiguration(version: number, prepaidFactor = 1): unknown {
  const common = { host, timeoutMs, targetLatencyMs: 400, priority: 0, maxAttempts: 2 };
  const stream = {
    ...common,
    timeoutMs: streamTimeoutMs,
    kind: 'streaming',
    service: 'lm',
    gapTargetMs: 300,
  };
  const engine = { slots: 16, kvTokens: 100_000, stride: tokensPerEvent };
  return {
    version,
    routes: [
      { ...common, name: 'read', pathPrefix: '/read/', kind: 'safe', service: 'app' },
      { ...common, name: 'pay', pathPrefix: '/pay/', kind: 'unsafe', service: 'app' },
      {
        ...common,
        name: 'moved',
        pathPrefix: '/moved/',
        kind: 'safe',
        service: movedRouteService(version),
      },
      { ...stream, name: 'chat', pathPrefix: '/chat/', resumable: true },
      { ...stream, name: 'plan', pathPrefix: '/plan/', resumable: false, maxAttempts: 1 },
    ],
    services: [
      { name: 'app', maxConns: 200 },
      { name: 'records', maxConns: 200 },
      { name: 'lm', maxConns: 200, engine },
    ],
    tenants: accounts.map(({ name, key, prepaidTokens }) => ({
      name,
      apiKeys: [key],
      prepaid: prepaidTokens * prepaidFactor,
    })),
  };
}
