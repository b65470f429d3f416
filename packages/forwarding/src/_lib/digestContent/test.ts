import test from 'ava';
import { digestContent, type RequestContent } from './index.js';

const content: RequestContent = {
  request: { method: 'POST', url: '/chat/7' },
  body: Buffer.from('a body'),
  head: {
    tokens: { promptTokens: 900, maxOutputTokens: 100 },
    promptParts: [{ id: '1f', tokens: 900 }],
  },
};

test('two attempts to send one request have the same digest', (t) => {
  t.is(digestContent({ ...content, body: Buffer.from('a body') }), digestContent(content));
});

test('requests for something else have other digests', (t) => {
  const others: RequestContent[] = [
    { ...content, body: Buffer.from('another') },
    { ...content, request: { method: 'POST', url: '/chat/8' } },
    { ...content, request: { method: 'PUT', url: '/chat/7' } },
    { ...content, head: { ...content.head, tokens: undefined } },
    { ...content, head: { ...content.head, promptParts: [{ id: '2f', tokens: 900 }] } },
  ];
  const digests = new Set([content, ...others].map(digestContent));
  t.is(digests.size, 1 + others.length);
});
