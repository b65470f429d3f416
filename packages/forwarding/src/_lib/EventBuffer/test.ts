import test from 'ava';
import { EventBuffer } from './index.js';

/** Returns the completed events as text, which is empty if there are none. */
function pushText(buffer: EventBuffer, chunk: string): string {
  return buffer.push(Buffer.from(chunk))?.bytes.toString() ?? '';
}

test('events are complete wherever the stream is split', (t) => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n';
  for (let cut = 1; cut < text.length; cut += 1) {
    const buffer = new EventBuffer();
    const first = pushText(buffer, text.slice(0, cut));
    t.true(['', 'id: 1\ndata: a\n\n'].includes(first));
    t.is(first + pushText(buffer, text.slice(cut)), text);
    t.false(buffer.hasPartialEvent);
  }
});

test('an incomplete event is buffered and reported', (t) => {
  const buffer = new EventBuffer();
  t.is(pushText(buffer, 'id: 1\ndata: a\n\nid: 2\nda'), 'id: 1\ndata: a\n\n');
  t.true(buffer.hasPartialEvent);
});

test('event ids are parsed if present', (t) => {
  const buffer = new EventBuffer();
  const text = 'data: a\n\nversion: 2\nid: 17\ndata: b\n\nid:18\r\ndata: c\r\n\r\nid:\n\n';
  t.deepEqual(buffer.push(Buffer.from(text))?.ids, [undefined, '17', '18', '']);
});

// Guards against work that grows with the square of an event's size, and events mixed up in the buffer.
test('an event that arrives byte by byte is complete', (t) => {
  const buffer = new EventBuffer();
  const event = `id: 7\ndata: ${'x'.repeat(200_000)}\r\n\r\n`;
  const startedMs = performance.now();
  let text = '';
  for (const byte of `${event}${event}`) text += pushText(buffer, byte);
  t.is(text, `${event}${event}`);
  t.true(performance.now() - startedMs < 5_000);
});

test('a completed event stays as it is while the next one arrives', (t) => {
  const buffer = new EventBuffer();
  t.is(buffer.push(Buffer.from('data: a')), undefined);
  const first = buffer.push(Buffer.from('b\n\ndata: c'));
  buffer.push(Buffer.from('d'.repeat(1_000)));
  t.is(first?.bytes.toString(), 'data: ab\n\n');
  t.is(pushText(buffer, '\n\n'), `data: c${'d'.repeat(1_000)}\n\n`);
});
