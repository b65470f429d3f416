import { ServerResponse, type IncomingMessage, type RequestListener } from 'node:http';
import { ignoreError } from '../ignoreError/index.js';

/** Answers a request of which only the head was read, and closes its connection. */
export function refuseAtHead(request: IncomingMessage, refuse: RequestListener): void {
  const { socket } = request;
  const response = new ServerResponse(request);
  response.shouldKeepAlive = false;
  socket.on('error', ignoreError);
  response.on('error', ignoreError);
  response.assignSocket(socket);
  response.once('finish', () => {
    socket.end(() => socket.destroy());
  });
  refuse(request, response);
}

/** Refuses a body where none is taken. */
export const refuseBody: RequestListener = (_request, response) => {
  response.writeHead(413, { connection: 'close', 'content-length': 0 }).end();
};
