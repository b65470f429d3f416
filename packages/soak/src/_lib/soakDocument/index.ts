/**
 * The configuration that a soak puts in force, as the platform's operator writes it.
 */

/** The host of all routes. */
export const host = 'shop.example';
/** Tokens in one event of a stream. */
export const tokensPerEvent = 5;

/** A client account of the soak. */
export interface SoakAccount {
  readonly name: string;
  readonly key: string;
  readonly prepaidTokens: number;
}

/** The accounts: one with plenty, one that runs out halfway, one that is nearly empty. */
export const accounts: readonly SoakAccount[] = [
  { name: 'office', key: 'office-key', prepaidTokens: 50_000_000 },
  { name: 'school', key: 'school-key', prepaidTokens: 150_000 },
  { name: 'family', key: 'family-key', prepaidTokens: 20_000 },
];

/** One kind of request. */
export interface RequestKind {
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly isRepeatable: boolean;
  readonly isStream: boolean;
}

/** The kinds of requests, each with a route. */
export const requestKinds: readonly RequestKind[] = [
  { path: '/read/', method: 'GET', isRepeatable: true, isStream: false },
  { path: '/pay/', method: 'POST', isRepeatable: false, isStream: false },
  { path: '/moved/', method: 'GET', isRepeatable: true, isStream: false },
  { path: '/chat/', method: 'POST', isRepeatable: true, isStream: true },
  { path: '/plan/', method: 'POST', isRepeatable: false, isStream: true },
];

/** How long the longest request may take, in milliseconds. */
export const timeoutMs = 3_000;

/** The service that the route `/moved/` leads to in a version; each version moves it. */
export function movedService(version: number): string {
  return version % 2 === 0 ? 'records' : 'app';
}

/**
 * The document of a version.
 *
 * @param version - rises with each change
 * @param limitFactor - multiplies the prepaid tokens; 1 but for a deliberate break
 */
export function soakDocument(version: number, limitFactor = 1): unknown {
  const common = { host, timeoutMs, targetLatencyMs: 400, priority: 0, maxAttempts: 2 };
  const stream = { ...common, kind: 'streaming', service: 'lm', gapTargetMs: 300 };
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
        service: movedService(version),
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
      prepaid: prepaidTokens * limitFactor,
    })),
  };
}
