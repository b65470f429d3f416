import test from 'ava';
import type { AccountId, ServiceName } from '@acaciacrank/base';
import type { ForwardConfiguration, Route } from '../types.js';
import { RouteTable } from './index.js';

function route(pathPrefix: string): Route {
  return {
    name: pathPrefix,
    host: 'Shop.Example',
    pathPrefix,
    kind: 'once',
    isResumable: false,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    gapTargetMs: undefined,
    priority: 0,
    targets: [{ service: 'app' as ServiceName, weight: 1 }],
    maxUpstreams: 1,
    isPublic: false,
  };
}

const configuration: ForwardConfiguration = {
  version: 3,
  routes: [route('/a/'), route('/a/b/'), route('/c/')],
  services: [{ name: 'app' as ServiceName, maxConnections: 5, engine: undefined }],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  accounts: [
    { accountId: 'one' as AccountId, keys: ['k1', 'k2'], priority: 1, prepaidTokens: 7 },
    { accountId: 'two' as AccountId, keys: ['k3'], priority: undefined, prepaidTokens: undefined },
  ],
};
const table = new RouteTable(configuration);

test('the longest matching prefix wins', (t) => {
  t.is(table.match('shop.example', '/a/x')?.name, '/a/');
  t.is(table.match('shop.example', '/a/b/x?y=/c/')?.name, '/a/b/');
  t.is(table.match('shop.example:8080', '/c/')?.name, '/c/');
});

test('a prefix matches whole segments of its own host only', (t) => {
  t.is(table.match('shop.example', '/ab/x'), undefined);
  t.is(table.match('shop.example', '/x?y=/a/'), undefined);
  t.is(table.match('other.example', '/a/x'), undefined);
  t.is(table.match('shop.example', '*'), undefined);
});

test('accounts are found by key, and limits are listed for accounts that have one', (t) => {
  t.is(table.accountForKey('k2')?.accountId, 'one' as AccountId);
  t.is(table.accountForKey('k4'), undefined);
  t.deepEqual([...table.prepaidLimits()], [['one' as AccountId, 7]]);
});
