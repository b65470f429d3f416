import type { AccountId, ServiceName } from '@acaciacrank/base';
import type { ForwardAccount, ForwardConfiguration, Route, ServiceTraits } from '../types.js';

/** One configuration, indexed for requests. */
export class RouteTable {
  readonly configuration: ForwardConfiguration;
  readonly #byHost = new Map<string, Map<string, Route>>();
  readonly #byKey = new Map<string, ForwardAccount>();
  readonly #services = new Map<ServiceName, ServiceTraits>();

  constructor(configuration: ForwardConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#byHost.get(host) ?? new Map<string, Route>();
      routes.set(route.pathPrefix, route);
      this.#byHost.set(host, routes);
    }
    for (const account of configuration.accounts ?? []) {
      for (const key of account.keys) this.#byKey.set(key, account);
    }
    for (const service of configuration.services) this.#services.set(service.name, service);
  }

  /**
   * Finds the route with the longest prefix that begins the path.
   *
   * @param host - the `Host` header, with or without a port
   * @param path - path and query
   * @returns the route; undefined where none matches
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
    const bare = queryAt < 0 ? path : path.slice(0, queryAt);
    // Prefixes end in a slash, so only the path's own slashes can end one.
    for (let end = bare.lastIndexOf('/'); end >= 0; end = bare.lastIndexOf('/', end - 1)) {
      const route = routes.get(bare.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) break;
    }
    return undefined;
  }

  /** The account that holds a key; undefined where none does. */
  accountOf(key: string): ForwardAccount | undefined {
    return this.#byKey.get(key);
  }

  /** A service's traits; undefined where the configuration does not name it. */
  service(name: ServiceName): ServiceTraits | undefined {
    return this.#services.get(name);
  }

  /** What each account has prepaid, for accounts with a limit. */
  prepaidLimits(): Map<AccountId, number> {
    const limits = new Map<AccountId, number>();
    for (const { accountId, prepaidTokens } of this.configuration.accounts ?? []) {
      if (prepaidTokens !== undefined) limits.set(accountId, prepaidTokens);
    }
    return limits;
  }
}
