/**
 * Mutual authentication of two instances by a shared key of their environment.
 *
 * Each side sends a fresh nonce and answers the other's with an HMAC over both nonces, both
 * instance ids, the environment and its own role, so that proofs cannot be replayed or reflected.
 * The key itself is never sent. During key rotation two keys are valid: proofs are made with the
 * first, and verified with all.
 */
import { RouterError, withTimeout, type Clock, type InstanceId } from '@acaciacrank/base';
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import * as z from 'zod';
import { decodeFrame, encodeFrame } from '../../encodeMessage/index.js';
import type { FrameSocket } from '../FrameSocket/index.js';

/** Identity and keys that this instance authenticates itself to peers with. */
export interface LinkIdentity {
  readonly instanceId: InstanceId;
  readonly environment: string;
  /** Shared secrets: proofs are made with the first, and verified with any of them. */
  readonly keys: readonly string[];
}

const protocolVersion = 1;
const nonceBytes = 16;

const helloSchema = z.object({
  protocol: z.literal(protocolVersion),
  environment: z.string().max(64),
  instanceId: z.string().min(1).max(64),
  nonce: z.instanceof(Uint8Array).refine((nonce) => nonce.length === nonceBytes),
});
const proofSchema = z.object({ proof: z.instanceof(Uint8Array) });
const challengeSchema = helloSchema.extend(proofSchema.shape);

type Hello = z.infer<typeof helloSchema>;
type Role = 'initiator' | 'acceptor';

/**
 * Performs the handshake on the side that opened the connection, which sends first.
 *
 * @param socket - a new connection
 * @param identity - identity of this instance
 * @param to - the instance that must be at the other end
 * @throws RouterError `unauthenticated` when the peer is another instance, belongs to another
 *   environment, holds none of the keys, or sends an invalid message; `peerUnavailable` when it
 *   closes the connection or the handshake times out
 */
export function initiateHandshake(
  socket: FrameSocket,
  identity: LinkIdentity,
  to: InstanceId,
  clock: Clock,
): Promise<void> {
  return withHandshakeTimeout(clock, async () => {
    const ownHello = createHello(identity);
    socket.send(encodeFrame(ownHello));
    const peerHello = await readFrame(socket, challengeSchema);
    checkPeer(identity, peerHello);
    if (peerHello.instanceId !== to)
      throw createRefusedError(
        'otherInstance',
        `the peer identified itself as ${peerHello.instanceId}, expected ${to}`,
      );
    verifyProof(identity, 'acceptor', ownHello, peerHello, peerHello.proof);
    socket.send(encodeFrame({ proof: createProof(identity, 'initiator', ownHello, peerHello) }));
    await readFrame(socket, z.object({ welcome: z.literal(true) }));
  });
}

/**
 * Performs the handshake on the side that accepted the connection.
 *
 * @returns the authenticated id of the peer
 * @throws the same errors as {@link initiateHandshake}
 */
export function acceptHandshake(
  socket: FrameSocket,
  identity: LinkIdentity,
  clock: Clock,
): Promise<InstanceId> {
  return withHandshakeTimeout(clock, async () => {
    const peerHello = await readFrame(socket, helloSchema);
    checkPeer(identity, peerHello);
    const ownHello = createHello(identity);
    socket.send(
      encodeFrame({ ...ownHello, proof: createProof(identity, 'acceptor', peerHello, ownHello) }),
    );
    const { proof } = await readFrame(socket, proofSchema);
    verifyProof(identity, 'initiator', peerHello, ownHello, proof);
    socket.send(encodeFrame({ welcome: true }));
    return peerHello.instanceId as InstanceId;
  });
}

/** A failed authentication; `code` is the metrics label that it is counted under. */
export class LinkRefusedError extends RouterError {
  readonly code: 'otherEnvironment' | 'otherInstance' | 'wrongKey' | 'badHandshake';

  constructor(code: LinkRefusedError['code'], message: string) {
    super('unauthenticated', message);
    this.code = code;
  }
}

function createRefusedError(code: LinkRefusedError['code'], message: string): LinkRefusedError {
  return new LinkRefusedError(code, message);
}

function createHello({ environment, instanceId }: LinkIdentity): Hello {
  return {
    protocol: protocolVersion,
    environment,
    instanceId,
    nonce: new Uint8Array(randomBytes(nonceBytes)),
  };
}

function checkPeer(identity: LinkIdentity, peer: Hello): void {
  if (peer.environment === identity.environment) return;
  throw createRefusedError(
    'otherEnvironment',
    `${peer.instanceId} belongs to environment ${peer.environment}`,
  );
}

function computeMac(key: string, role: Role, initiator: Hello, acceptor: Hello): Buffer {
  const parts = [initiator, acceptor].flatMap(({ environment, instanceId, nonce }) => [
    environment,
    instanceId,
    Buffer.from(nonce).toString('hex'),
  ]);
  return createHmac('sha256', key)
    .update(JSON.stringify([protocolVersion, role, ...parts]))
    .digest();
}

function createProof(
  identity: LinkIdentity,
  role: Role,
  initiator: Hello,
  acceptor: Hello,
): Buffer {
  return computeMac(identity.keys[0] ?? '', role, initiator, acceptor);
}

function verifyProof(
  { keys }: LinkIdentity,
  role: Role,
  initiator: Hello,
  acceptor: Hello,
  proof: Uint8Array,
): void {
  const isValid = keys.some((key) => {
    const expected = computeMac(key, role, initiator, acceptor);
    return proof.length === expected.length && timingSafeEqual(proof, expected);
  });
  if (!isValid)
    throw createRefusedError(
      'wrongKey',
      'the proof of the peer matches none of the keys of this instance',
    );
}

async function readFrame<Schema extends z.ZodType>(
  socket: FrameSocket,
  schema: Schema,
): Promise<z.infer<Schema>> {
  const frame = await socket.next();
  if (frame === undefined)
    throw new RouterError('peerUnavailable', 'the peer closed the connection during the handshake');
  const parsed = schema.safeParse(decodeFrame(frame));
  if (parsed.success) return parsed.data;
  throw createRefusedError('badHandshake', 'the peer sent an invalid handshake message');
}

/** Time limit for the whole handshake, in milliseconds. */
const handshakeTimeoutMs = 3_000;

function withHandshakeTimeout<Value>(
  clock: Clock,
  handshake: () => Promise<Value>,
): Promise<Value> {
  return withTimeout(clock, handshakeTimeoutMs, handshake, {
    kind: 'peerUnavailable',
    what: 'the handshake',
  });
}
