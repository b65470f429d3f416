import {
  toRouterError,
  RouterError,
  type Clock,
  type ErrorKind,
  type InstanceId,
} from '@acaciacrank/base';
import type { FleetLinks } from '../FleetLinks/index.js';
import type { FleetMessageOf, FleetRequest, FleetReply, FleetReplyOf } from '../types.js';

/** Options of {@link FleetRpc}. */
export interface FleetRpcOptions {
  links: FleetLinks;
  clock: Clock;
  /** Default timeout for a reply, in milliseconds; 1,000 by default. */
  timeoutMs?: number;
}

/** Options of {@link FleetRpc.ask}. */
export interface AskOptions {
  /** Timeout for the reply, in milliseconds. */
  timeoutMs?: number;
}

type RequestHandler = (request: FleetRequest, from: InstanceId) => FleetReply | Promise<FleetReply>;

interface PendingRequest {
  readonly to: InstanceId;
  readonly finish: (reply: FleetReply) => void;
}

const unreachable: ErrorKind = 'peerUnavailable';

/**
 * Remote procedure calls between instances, over links that may lose messages.
 *
 * A request without a reply within the timeout fails, although the peer may have executed it.
 * Requests must therefore be idempotent.
 */
export class FleetRpc implements Disposable {
  readonly #options: FleetRpcOptions;
  readonly #handlers = new Map<FleetRequest['kind'], RequestHandler>();
  readonly #pendingRequests = new Map<number, PendingRequest>();
  readonly #subscription: Disposable;
  #lastAskId = 0;

  constructor(options: FleetRpcOptions) {
    this.#options = options;
    this.#subscription = options.links.subscribe((message, from) => {
      if (message.kind === 'ask') void this.#handleRequest(message, from);
      if (message.kind === 'reply') this.#handleReply(message, from);
    });
  }

  /**
   * Sends a request to a peer and waits for the reply.
   *
   * @param to - the peer
   * @param request - the request; the reply has the same kind
   * @param options - the timeout
   * @returns the reply
   * @throws RouterError `peerUnavailable` when the request times out, or the peer replies that it
   *   failed or with another kind
   *
   * @example
   * const { isReachable } = await rpc.ask(peer, { kind: 'probe', target });
   */
  async ask<Kind extends FleetRequest['kind']>(
    to: InstanceId,
    request: Extract<FleetRequest, { kind: Kind }>,
    options: AskOptions = {},
  ): Promise<FleetReplyOf<Kind>> {
    const timeoutMs = options.timeoutMs ?? this.#options.timeoutMs ?? 1_000;
    const reply = await this.#sendRequest(to, request, timeoutMs);
    if (reply === undefined) {
      throw new RouterError(unreachable, `${to} did not answer within ${timeoutMs} ms`);
    }
    if (reply.kind === 'failed') throw new RouterError(unreachable, `${to}: ${reply.reason}`);
    if (reply.kind !== request.kind) {
      throw new RouterError(
        unreachable,
        `${to} replied with ${reply.kind} to a request of kind ${request.kind}`,
      );
    }
    return reply as FleetReplyOf<Kind>;
  }

  /**
   * Registers the handler for requests of one kind.
   *
   * @param kind - the kind of request
   * @param handler - creates the reply, of the same kind
   * @returns the registration; dispose of it to remove the handler
   */
  answer<Kind extends FleetRequest['kind']>(
    kind: Kind,
    handler: (
      request: Extract<FleetRequest, { kind: Kind }>,
      from: InstanceId,
    ) => FleetReplyOf<Kind> | Promise<FleetReplyOf<Kind>>,
  ): Disposable {
    this.#handlers.set(kind, handler as unknown as RequestHandler);
    return {
      [Symbol.dispose]: () => {
        this.#handlers.delete(kind);
      },
    };
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
    for (const { finish } of this.#pendingRequests.values())
      finish({ kind: 'failed', reason: 'closed' });
  }

  #sendRequest(
    to: InstanceId,
    request: FleetRequest,
    timeoutMs: number,
  ): Promise<FleetReply | undefined> {
    this.#lastAskId += 1;
    const askId = this.#lastAskId;
    return new Promise((resolve) => {
      const timer = this.#options.clock.scheduleActive(timeoutMs, () => {
        this.#pendingRequests.delete(askId);
        resolve(undefined);
      });
      const finish = (reply: FleetReply) => {
        timer[Symbol.dispose]();
        this.#pendingRequests.delete(askId);
        resolve(reply);
      };
      this.#pendingRequests.set(askId, { to, finish });
      this.#options.links.send(to, { kind: 'ask', askId, question: request });
    });
  }

  /**
   * Accepts a reply only from the peer that was queried: ids are sequential, so another peer could
   * guess them.
   */
  #handleReply(message: FleetMessageOf<'reply'>, from: InstanceId): void {
    const pendingRequest = this.#pendingRequests.get(message.askId);
    if (pendingRequest?.to === from) pendingRequest.finish(message.reply);
  }

  async #handleRequest(
    { askId, question: request }: FleetMessageOf<'ask'>,
    from: InstanceId,
  ): Promise<void> {
    const reply = await this.#createReply(request, from);
    this.#options.links.send(from, { kind: 'reply', askId, reply });
  }

  async #createReply(request: FleetRequest, from: InstanceId): Promise<FleetReply> {
    const handler = this.#handlers.get(request.kind);
    if (handler === undefined) {
      return { kind: 'failed', reason: `${request.kind} is not answered here` };
    }
    try {
      return await handler(request, from);
    } catch (thrown) {
      return { kind: 'failed', reason: toRouterError(thrown).message.slice(0, 512) };
    }
  }
}
