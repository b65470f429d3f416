/** A sound client that reads an answer from a bare socket and sees how its channel ends. */
import { connect } from 'node:net';
import { apiKey, host } from './SystemUnderTest.mjs';

/**
 * Sends one streamed request on a new channel.
 *
 * @returns the head, the body, and how the channel ended: `inOrder`, as a FIN shows, or `reset`
 */
export function readToEnd({ port, path, id, budgetMs, onEvent }) {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let bytes = '';
    let channel = 'silent';
    const finish = () => {
      clearTimeout(timer);
      const at = bytes.indexOf('\r\n\r\n');
      const head = at < 0 ? '' : bytes.slice(0, at);
      resolve({ head, body: at < 0 ? '' : bytes.slice(at + 4), channel });
    };
    const timer = setTimeout(() => socket.destroy(), budgetMs + 1_000);
    socket.on('connect', () => {
      socket.write(
        [
          `POST ${path} HTTP/1.1`,
          `Host: ${host}`,
          `X-Request-Id: ${id}`,
          'X-Model: m',
          'X-Token-Count: 1460,400',
          'X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250',
          `X-Time-Budget: ${budgetMs}`,
          `Authorization: Bearer ${apiKey}`,
          'Content-Length: 6',
          '',
          'a body',
        ].join('\r\n'),
      );
    });
    socket.on('data', (chunk) => {
      bytes += chunk.toString('latin1');
      onEvent?.();
    });
    socket.on('end', () => (channel = 'inOrder'));
    socket.on('error', () => (channel = 'reset'));
    socket.on('close', finish);
  });
}

/**
 * Whether an answer is complete by HTTP/1.1: all bytes of its length, its last chunk, or, without either, the end of its
 * channel in good order.
 */
export function looksComplete({ head, body, channel }) {
  if (!/^HTTP\/1\.1 2\d\d /.test(head)) return false;
  if (/^transfer-encoding: *chunked/im.test(head)) return /(^|\r\n)0\r\n\r\n$/.test(body);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  if (length !== undefined) return body.length >= Number(length);
  return channel === 'inOrder';
}
