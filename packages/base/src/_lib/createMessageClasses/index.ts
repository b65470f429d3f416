/**
 * Messages of a server that counts what is parsed, and stops the parser where nothing more is to be read.
 */
import { IncomingMessage, ServerResponse, type ServerOptions } from 'node:http';
import type { Socket } from 'node:net';
import type { ClientConnections } from '../../ClientConnections/index.js';
import type { ReadSlicer } from '../../ReadSlicer/index.js';
import { ignoreError } from '../ignoreError/index.js';

/** Number of chunks of one request from which on a read counts as expensive. */
const expensiveChunks = 1_024;

/** Why the parser stops at a request: it is past a limit, or its body is not to be read. */
export type StopReason = 'beyondLimit' | 'bodyNotTaken' | 'noRoomForBody';

/** A request at which the parser may stop. */
interface CheckedRequest extends IncomingMessage {
  readonly stopReason: StopReason | undefined;
}

/** Returns why the parser has stopped at a request; undefined if it asks for another protocol. */
export function stopReasonOf(request: IncomingMessage): StopReason | undefined {
  return (request as CheckedRequest).stopReason;
}

/** Options of {@link createMessageClasses}. */
export interface MessageOptions {
  readonly connections: ClientConnections;
  readonly slicer: ReadSlicer;
  /** Whether requests for another protocol are passed on as such. */
  readonly allowsUpgrades: boolean;
  readonly takesBodies: boolean;
  readonly hasRoomForBody: (bytes: number) => boolean;
}

/** The classes, as options of a server. */
export type MessageClasses = Pick<ServerOptions, 'IncomingMessage' | 'ServerResponse'>;

/** Classes of the messages of one server, which count each request that is parsed, whoever answers it. */
export function createMessageClasses(options: MessageOptions): MessageClasses {
  const { connections, slicer, allowsUpgrades } = options;

  class BoundedRequest extends IncomingMessage implements CheckedRequest {
    stopReason: StopReason | undefined;
    #isBodyChecked = false;
    #chunkCount = 0;
    /** Whether the client asks for another protocol; set by the parser, also while the class above is constructed. */
    declare private isUpgradeWanted: boolean | null;

    constructor(socket: Socket) {
      super(socket);
      if (!connections.beginRequest(socket)) this.stopReason = 'beyondLimit';
    }

    /** Called by the parser with each chunk. */
    override push(chunk: unknown): boolean {
      this.#chunkCount += 1;
      if (this.#chunkCount === expensiveChunks)
        slicer.begin(connections.withoutRequests as Iterable<Socket>);
      return super.push(chunk);
    }

    /** Read by the parser once the head is complete, more than once: it stops there if this is true. */
    get upgrade(): boolean {
      if (!this.#isBodyChecked) this.stopReason ??= findBodyStop(options, this);
      this.#isBodyChecked = true;
      if (this.stopReason !== undefined) return true;
      const isWanted = this.isUpgradeWanted === true;
      return isWanted && (allowsUpgrades || this.method === 'CONNECT');
    }

    set upgrade(isWanted: boolean | null) {
      this.isUpgradeWanted = isWanted;
    }
  }

  class BoundedResponse<
    Request extends IncomingMessage = IncomingMessage,
  > extends ServerResponse<Request> {
    constructor(...options: ConstructorParameters<typeof ServerResponse<Request>>) {
      super(...options);
      const [{ socket }] = options;
      connections.addResponse(socket, this);
      this.on('error', ignoreError);
      this.once('close', () => {
        connections.removeResponse(socket, this);
      });
    }
  }
  return { IncomingMessage: BoundedRequest, ServerResponse: BoundedResponse };
}

function findBodyStop(
  { takesBodies, hasRoomForBody }: MessageOptions,
  { headers }: IncomingMessage,
): StopReason | undefined {
  const bytes = Number(headers['content-length'] ?? 0);
  if (!(bytes > 0) && headers['transfer-encoding'] === undefined) return undefined;
  if (!takesBodies) return 'bodyNotTaken';
  return hasRoomForBody(bytes) ? undefined : 'noRoomForBody';
}
