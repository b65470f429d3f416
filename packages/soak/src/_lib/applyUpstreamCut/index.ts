/**
 * Loaded into the process of an instance before the program: cuts its connections to upstreams while a file says so.
 */
import { readFileSync } from 'node:fs';
import { Socket } from 'node:net';
import { cutFileVariable, type CutOrder } from '../UpstreamCut/index.js';

/** Time between two looks at the file, in milliseconds. */
const pollMs = 20;

const file = process.env[cutFileVariable] ?? '';
const openSockets = new Map<Socket, number>();
/** What is written to connections that hang, until the cut ends. */
const heldWrites: (() => void)[] = [];
let order: CutOrder | undefined;

function isCut(port: number): boolean {
  return order?.ports.includes(port) === true;
}

const originalConnect = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket;

function connectUnlessCut(this: Socket, ...args: unknown[]): Socket {
  const port = portOf(args);
  if (!isCut(port)) {
    if (port !== 0) this.once('connect', () => track(this, port));
    return originalConnect.apply(this, args);
  }
  if (order?.form === 'refuse') setImmediate(refuse, this);
  return this;
}

/** Finds the port in the arguments of `connect`, which Node also passes on as a normalized array. */
function portOf(args: readonly unknown[]): number {
  const [first] = args;
  const options = Array.isArray(first) ? (first as unknown[])[0] : first;
  const { port = 0 } = (options ?? {}) as { port?: number };
  return Number(port);
}

function refuse(socket: Socket): void {
  const error = Object.assign(new Error('connect ECONNREFUSED'), {
    code: 'ECONNREFUSED',
    syscall: 'connect',
  });
  socket.destroy(error);
}

function track(socket: Socket, port: number): void {
  openSockets.set(socket, port);
  socket.once('close', () => openSockets.delete(socket));
  const write = socket._write.bind(socket);
  socket._write = (chunk, encoding, callback) => {
    const hangs = order?.form === 'hang' && isCut(port);
    if (hangs) heldWrites.push(() => write(chunk, encoding, callback));
    else write(chunk, encoding, callback);
  };
  delete (socket as { _writev?: unknown })._writev;
  Object.defineProperty(socket, '_writev', { value: null });
}

type Readable = { readStop: () => void; readStart: () => void } | null;

function handleOf(socket: Socket): Readable {
  return (socket as unknown as { _handle: Readable })._handle;
}

function applyToOpenSockets(): void {
  for (const [socket, port] of openSockets) {
    if (!isCut(port)) continue;
    if (order?.form === 'hang') handleOf(socket)?.readStop();
    if (order?.form === 'refuse') {
      const error = Object.assign(new Error('read ECONNRESET'), {
        code: 'ECONNRESET',
        syscall: 'read',
      });
      socket.destroy(error);
    }
  }
}

function release(): void {
  for (const socket of openSockets.keys()) handleOf(socket)?.readStart();
  for (const write of heldWrites.splice(0)) write();
}

function readOrder(): CutOrder | undefined {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as CutOrder;
  } catch {
    // There is no file while there is no cut.
    return undefined;
  }
}

Socket.prototype.connect = connectUnlessCut;
setInterval(() => {
  const wasCut = order !== undefined;
  order = readOrder();
  if (order !== undefined) applyToOpenSockets();
  else if (wasCut) release();
}, pollMs).unref();
