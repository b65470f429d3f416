/** A proxy before the store that can fall silent for one machine: open channels and new ones hang, nothing is reset. */
import { connect, createServer } from 'node:net';

/** Passes bytes on, unless it is silent. */
export class SilencingProxy {
  #isSilent = false;
  #sockets = new Set();
  #server;

  /** @param port - the store's port */
  constructor(port) {
    this.#server = createServer((near) => {
      this.#track(near);
      // What is opened during the silence stays silent for good, as the pages say of such channels.
      if (this.#isSilent) {
        near.on('data', () => undefined);
        return;
      }
      const far = connect(port, '127.0.0.1');
      this.#track(far);
      this.#pass(near, far);
      this.#pass(far, near);
    });
  }

  async listen() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this.#server.address().port;
  }

  setSilent(isSilent) {
    this.#isSilent = isSilent;
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #track(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.#sockets.delete(socket));
  }

  #pass(from, to) {
    let isLost = false;
    from.on('data', (chunk) => {
      isLost ||= this.#isSilent;
      if (!isLost) to.write(chunk);
    });
    from.on('close', () => {
      if (!this.#isSilent) to.destroy();
    });
  }
}
