// The part of undici that the program uses. The whole library, with fetch, caches and proxies, would stay in
// the memory of every process and be compiled at every start.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');
Object.assign(Dispatcher.prototype, require('../node_modules/undici/lib/api/index.js'));
module.exports = {
  Agent: require('../node_modules/undici/lib/dispatcher/agent.js'),
  Client: require('../node_modules/undici/lib/dispatcher/client.js'),
  buildConnector: require('../node_modules/undici/lib/core/connect.js'),
};
