import test from 'ava';
import { EventBuffer } from './index.js';

function texts(buffer: EventBuffer, chunk: string): string[] {
  return buffer.push(Buffer.from(chunk)).map(({ bytes }) => bytes.toString());
}

test('events come out whole, however they were cut', (t) => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n';
  for (let cut = 1; cut < text.length; cut += 1) {
    const buffer = new EventBuffer();
    const events = [...texts(buffer, text.slice(0, cut)), ...texts(buffer, text.slice(cut))];
    t.deepEqual(events, ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n']);
    t.false(buffer.isPartial);
  }
});

test('a half event is held back and told of', (t) => {
  const buffer = new EventBuffer();
  t.deepEqual(texts(buffer, 'id: 1\ndata: a\n\nid: 2\nda'), ['id: 1\ndata: a\n\n']);
  t.true(buffer.isPartial);
});

test('ids are read where there are any', (t) => {
  const buffer = new EventBuffer();
  const events = buffer.push(Buffer.from('data: a\n\nversion: 2\nid: 17\ndata: b\n\n'));
  t.deepEqual(
    events.map(({ id }) => id),
    [undefined, '17'],
  );
});
