import type { Clock } from '@acaciacrank/base';
import type { RawData, WebSocket } from 'ws';

/** Options of {@link FrameSocket}. */
export interface FrameSocketOptions {
  clock: Clock;
  /**
   * Interval between two checks of the connection, which send a ping when needed, in milliseconds.
   */
  pingMs: number;
  /**
   * A connection on which nothing is received for this long is terminated, in milliseconds; a pause of this process
   * does not count.
   */
  silenceMs: number;
  /**
   * A connection on which no frame is sent or received for this long is closed, in milliseconds.
   */
  idleMs: number;
  /** Called when the connection is terminated because nothing was received. */
  onSilent: () => void;
}

/** Maximum size of what a peer sends while its connection is being closed, in bytes. */
const maxLateBytes = 65_536;

/**
 * A WebSocket as a sequence of frames, with detection of half-open connections.
 *
 * A device on the path, such as a NAT or a firewall, can drop its state for a connection: neither
 * end sees an error and everything sent is lost, while a new connection would work. When nothing is
 * received, pings are sent; when they are not answered either, the connection is terminated, so
 * that the next send opens a new one.
 */
export class FrameSocket implements Disposable {
  readonly #socket: WebSocket;
  readonly #options: FrameSocketOptions;
  readonly #receivedFrames: Uint8Array[] = [];
  #wake: (() => void) | undefined;
  #isClosed = false;
  /** Whether this end is closing the connection, so that nothing is read any more. */
  #isClosing = false;
  /** Bytes that came meanwhile. */
  #lateBytes = 0;
  #lastReceivedAtMs: number;
  #lastFrameAtMs: number;
  #checkTimer: Disposable;

  constructor(socket: WebSocket, options: FrameSocketOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#lastReceivedAtMs = options.clock.activeMs();
    this.#lastFrameAtMs = this.#lastReceivedAtMs;
    socket.on('message', (data) => {
      if (this.#isClosed) return;
      this.#markReceived();
      this.#lastFrameAtMs = this.#lastReceivedAtMs;
      if (this.#isClosing) {
        this.#countLateBytes(toBytes(data).byteLength);
        return;
      }
      this.#receivedFrames.push(toBytes(data));
      this.#wake?.();
    });
    socket.on('ping', () => {
      this.#markReceived();
    });
    socket.on('pong', () => {
      this.#markReceived();
    });
    socket.on('close', () => {
      this.#onClose();
    });
    // Each `error` event is followed by `close`, which ends `next`.
    socket.on('error', () => undefined);
    this.#checkTimer = this.#scheduleCheck();
  }

  /** Whether frames can still be sent. */
  get isOpen(): boolean {
    return !this.#isClosed && this.#socket.readyState === this.#socket.OPEN;
  }

  /** Bytes queued by `send` and not yet transmitted to the network. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  send(frame: Uint8Array): void {
    this.#lastFrameAtMs = this.#options.clock.activeMs();
    this.#socket.send(frame, () => undefined);
  }

  /** Resolves with the next received frame; undefined when the connection is closed. */
  async next(): Promise<Uint8Array | undefined> {
    while (this.#receivedFrames.length === 0 && !this.#isClosed) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
    return this.#receivedFrames.shift();
  }

  /**
   * Closes the connection with a code and a reason for the peer.
   *
   * Guards against a refused peer that continues sending: its frames would be held until the connection is closed.
   */
  close(code: number, reason: string): void {
    this.#isClosing = true;
    this.#receivedFrames.length = 0;
    this.#socket.close(code, reason);
    this.#options.clock.schedule(200, () => {
      this.#socket.terminate();
    });
  }

  [Symbol.dispose](): void {
    this.#socket.terminate();
    this.#onClose();
  }

  #countLateBytes(bytes: number): void {
    this.#lateBytes += bytes;
    if (this.#lateBytes > maxLateBytes) this.#socket.terminate();
  }

  #markReceived(): void {
    this.#lastReceivedAtMs = this.#options.clock.activeMs();
  }

  #onClose(): void {
    this.#isClosed = true;
    this.#checkTimer[Symbol.dispose]();
    this.#wake?.();
  }

  #scheduleCheck(): Disposable {
    const { clock, pingMs } = this.#options;
    return clock.scheduleActive(pingMs, () => {
      if (this.#isClosed) return;
      this.#checkActivity(clock.activeMs());
      if (!this.#isClosed) this.#checkTimer = this.#scheduleCheck();
    });
  }

  #checkActivity(nowMs: number): void {
    const { pingMs, silenceMs, idleMs, onSilent } = this.#options;
    if (nowMs - this.#lastReceivedAtMs > silenceMs) {
      onSilent();
      this[Symbol.dispose]();
    } else if (nowMs - this.#lastFrameAtMs > idleMs) {
      this.#socket.close(1000, 'idle');
    } else if (this.isOpen && nowMs - this.#lastReceivedAtMs >= pingMs) {
      // No ping is sent while anything was received within `pingMs`, which proves as much as a
      // pong.
      this.#socket.ping();
    }
  }
}

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}
