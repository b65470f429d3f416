import test from 'ava';
import type { PlainServiceDocument } from '../environmentSchema/index.js';
import { isRepeatableCall } from './index.js';

const service: PlainServiceDocument = {
  name: 'reservas-app',
  kind: 'plain',
  repeatableMethods: ['GET', 'HEAD'],
  repeatableCalls: [
    { method: 'POST', path: '/shelters/*/availability' },
    { method: 'PUT', path: '/drafts/**' },
  ],
  tokensPerCall: 1,
};

const cases: readonly [method: string, path: string, expected: boolean][] = [
  ['GET', '/anything', true],
  ['POST', '/shelters/7/availability?on=2026-12-05', true],
  ['POST', '/shelters/7/availability/', true],
  ['POST', '/shelters/availability', false],
  ['POST', '/shelters/7/8/availability', false],
  ['POST', '/shelters/7/confirmations', false],
  ['PUT', '/drafts', true],
  ['PUT', '/drafts/7/notes', true],
  ['PUT', '/draftsmen/7', false],
  ['DELETE', '/drafts/7', false],
];

for (const [method, path, expected] of cases) {
  test(`${method} ${path} may ${expected ? '' : 'not '}be repeated`, (t) => {
    t.is(isRepeatableCall(service, { method, path }), expected);
  });
}

// Guards against charging a customer twice for one booking: the path matches the pattern of an
// idempotent call and is retried, but the service resolves its plain or percent-encoded dots to the
// confirmation, which is not idempotent.
test('an ambiguous path matches no pattern', (t) => {
  for (const path of [
    '/drafts/../confirmations',
    '/drafts/%2e%2e/confirmations',
    '/drafts/..%2Fconfirmations',
    '/drafts//confirmations',
    '/drafts/./7',
    '/drafts/..\\confirmations',
  ]) {
    t.false(isRepeatableCall(service, { method: 'PUT', path }), path);
  }
});
