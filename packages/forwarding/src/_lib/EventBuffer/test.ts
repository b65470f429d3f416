import test from 'ava';
import { EventBuffer } from './index.js';

function pushText(buffer: EventBuffer, chunk: string): string[] {
  return buffer.push(Buffer.from(chunk)).map(({ bytes }) => bytes.toString());
}

test('events are complete wherever the stream is split', (t) => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n';
  for (let cut = 1; cut < text.length; cut += 1) {
    const buffer = new EventBuffer();
    const events = [...pushText(buffer, text.slice(0, cut)), ...pushText(buffer, text.slice(cut))];
    t.deepEqual(events, ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n']);
    t.false(buffer.hasPartialEvent);
  }
});

test('an incomplete event is buffered and reported', (t) => {
  const buffer = new EventBuffer();
  t.deepEqual(pushText(buffer, 'id: 1\ndata: a\n\nid: 2\nda'), ['id: 1\ndata: a\n\n']);
  t.true(buffer.hasPartialEvent);
});

test('event ids are parsed if present', (t) => {
  const buffer = new EventBuffer();
  const events = buffer.push(Buffer.from('data: a\n\nversion: 2\nid: 17\ndata: b\n\n'));
  t.deepEqual(
    events.map(({ id }) => id),
    [undefined, '17'],
  );
});
