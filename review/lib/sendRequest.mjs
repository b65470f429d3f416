/** A sound client's request. */
import { request } from 'node:http';
import { apiKey, host } from './SystemUnderTest.mjs';

/**
 * Sends one request and reads its answer.
 *
 * @returns `status`, 0 without one; `body`; and whether the answer is complete
 */
export function sendRequest({ port, agent, method, path, id, budgetMs, body = '', headers = {} }) {
  return new Promise((resolve) => {
    const outgoing = request(
      {
        host: '127.0.0.1',
        port,
        agent,
        method,
        path,
        headers: {
          host,
          'x-request-id': id,
          'x-time-budget': String(budgetMs),
          authorization: `Bearer ${apiKey}`,
          ...headers,
        },
      },
      (answer) => {
        let text = '';
        answer.setEncoding('utf8');
        answer.on('data', (part) => (text += part));
        const finish = () => {
          const isComplete = answer.complete;
          resolve({ status: answer.statusCode, body: text, isComplete, headers: answer.headers });
        };
        answer.on('end', finish);
        answer.on('error', finish);
      },
    );
    outgoing.setTimeout(budgetMs + 1_000, () => outgoing.destroy());
    outgoing.on('error', () => resolve({ status: 0, body: '', isComplete: false, headers: {} }));
    outgoing.end(method === 'GET' ? undefined : body);
  });
}
