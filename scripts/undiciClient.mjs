// The part of undici that the program uses. The whole library, with fetch, caches and proxies, would stay in
// the memory of every process and be compiled at every start. An import that is missing here fails the build.
import Agent from '../node_modules/undici/lib/dispatcher/agent.js';
import api from '../node_modules/undici/lib/api/index.js';
import Client from '../node_modules/undici/lib/dispatcher/client.js';
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, api);

/** Sends a request; `dispatcher` must be given, since there is no global one. */
export function request(url, options) {
  const { origin, pathname, search } = new URL(url);
  return options.dispatcher.request({ ...options, origin, path: pathname + search });
}

export { Agent, Client };
