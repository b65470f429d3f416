import type { Clock } from '@acaciacrank/base';
import { maxUnreadMs } from '@acaciacrank/routing';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Knows which connections may have waited long to be accepted.
 *
 * Guards against a request whose caller has left while its connection waited: libuv accepts one connection in each turn
 * of the event loop, so that a crowd waits for many turns, each of them short. A turn without a connection shows that
 * none waits any more.
 *
 * @example
 * backlog.watch(server);
 * if (backlog.takeLate(request.socket)) await gate.enter({ isLate: true });
 */
export class ConnectionBacklog {
  readonly #clock: Pick<Clock, 'monotonicMs' | 'unreadMs' | 'afterReads'>;
  readonly #late = new WeakSet<Socket>();
  /** Since when connections may wait, while one is accepted in each turn. */
  #sinceMs: number | undefined;
  #acceptedCount = 0;

  constructor(clock: Pick<Clock, 'monotonicMs' | 'unreadMs' | 'afterReads'>) {
    this.#clock = clock;
  }

  /** Follows the connections of a server. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.recordAccepted(socket);
    });
  }

  /** Records that a connection was accepted. */
  recordAccepted(socket: Socket): void {
    const nowMs = this.#clock.monotonicMs();
    this.#acceptedCount += 1;
    if (this.#sinceMs === undefined) this.#followTurns();
    this.#sinceMs ??= nowMs - this.#clock.unreadMs();
    if (nowMs - this.#sinceMs > maxUnreadMs) this.#late.add(socket);
  }

  /** Whether a connection may have waited long; its first request is late then, those after it are not. */
  takeLate(socket: Socket): boolean {
    return this.#late.delete(socket);
  }

  #followTurns(): void {
    const before = this.#acceptedCount;
    this.#clock.afterReads(() => {
      if (this.#acceptedCount > before) this.#followTurns();
      else this.#sinceMs = undefined;
    });
  }
}
