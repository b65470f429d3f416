import type { AccountId, ServiceName } from '@acaciacrank/base';
import type {
  ForwardAccount,
  ForwardConfiguration,
  Route,
  RouteTarget,
  ServiceTraits,
} from '../types.js';

/** One version of the configuration, indexed for lookups by request. */
export class RouteTable {
  readonly configuration: ForwardConfiguration;
  readonly #byHost = new Map<string, Map<string, Route>>();
  readonly #byKey = new Map<string, ForwardAccount>();
  readonly #services = new Map<ServiceName, ServiceTraits>();
  /** When each route began to lead where it does. */
  readonly #ledSinceMs = new Map<Route, number>();

  /**
   * @param configuration - the configuration
   * @param nowMs - when it takes effect, on the monotonic clock
   * @param previous - the table that it replaces
   */
  constructor(configuration: ForwardConfiguration, nowMs = 0, previous?: RouteTable) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#byHost.get(host) ?? new Map<string, Route>();
      routes.set(route.pathPrefix, route);
      this.#byHost.set(host, routes);
      this.#ledSinceMs.set(route, previous?.ledSinceMs(route) ?? nowMs);
    }
    for (const account of configuration.accounts ?? []) {
      for (const key of account.keys) this.#byKey.set(key, account);
    }
    for (const service of configuration.services) this.#services.set(service.name, service);
  }

  /**
   * Finds the route with the longest prefix that matches the path.
   *
   * @param host - the `Host` header, with or without a port
   * @param path - path and query
   * @returns the route; undefined if none matches
   *
   * @example
   * table.match('shop.example', '/a/b/c?x=1')?.pathPrefix;
   * //=> '/a/b/'
   */
  match(host: string, path: string): Route | undefined {
    const name = host.toLowerCase();
    const routes = this.#byHost.get(name) ?? this.#byHost.get(name.replace(/:\d+$/, ''));
    if (routes === undefined) return undefined;
    const queryAt = path.search(/[?#]/);
    const pathname = queryAt < 0 ? path : path.slice(0, queryAt);
    // Prefixes end with a slash, so a prefix can only end at a slash of the path.
    for (let end = pathname.lastIndexOf('/'); end >= 0; end = pathname.lastIndexOf('/', end - 1)) {
      const route = routes.get(pathname.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) break;
    }
    return undefined;
  }

  /**
   * Returns since when a route leads where it does, on the monotonic clock.
   *
   * @param route - a route of this table, or one that may replace it
   * @returns undefined if it led elsewhere, or there was none
   */
  ledSinceMs({ host, pathPrefix, targets }: Route): number | undefined {
    const own = this.#byHost.get(host.toLowerCase())?.get(pathPrefix);
    if (own === undefined || !leadsToSame(own.targets, targets)) return undefined;
    return this.#ledSinceMs.get(own);
  }

  /** Returns the account that an API key belongs to; undefined if there is none. */
  accountForKey(key: string): ForwardAccount | undefined {
    return this.#byKey.get(key);
  }

  /** Returns the properties of a service; undefined if it is not configured. */
  service(name: ServiceName): ServiceTraits | undefined {
    return this.#services.get(name);
  }

  /** Returns the prepaid tokens of each account that has a limit. */
  prepaidLimits(): Map<AccountId, number> {
    const limits = new Map<AccountId, number>();
    for (const { accountId, prepaidTokens } of this.configuration.accounts ?? []) {
      if (prepaidTokens !== undefined) limits.set(accountId, prepaidTokens);
    }
    return limits;
  }
}

function leadsToSame(one: readonly RouteTarget[], other: readonly RouteTarget[]): boolean {
  return (
    one.length === other.length && one.every(({ service }, at) => service === other[at]?.service)
  );
}
