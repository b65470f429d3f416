/**
 * What instances say to each other; the schemas are in `messageSchemas`.
 */
import type { InstanceId } from '@acaciacrank/base';
import type { z } from 'zod';
import type {
  fleetMessageSchema,
  fleetQuestionSchema,
  fleetReplySchema,
  memberRecordSchema,
} from './messageSchemas/index.js';

/** One message between instances. */
export type FleetMessage = z.infer<typeof fleetMessageSchema>;

/** A message of one kind. */
export type FleetMessageOf<Kind extends FleetMessage['kind']> = Extract<
  FleetMessage,
  { kind: Kind }
>;

/** A question that a peer answers. */
export type FleetQuestion = z.infer<typeof fleetQuestionSchema>;

/** A reply to a question. */
export type FleetReply = z.infer<typeof fleetReplySchema>;

/** A reply of one kind. */
export type FleetReplyOf<Kind extends FleetReply['kind']> = Extract<FleetReply, { kind: Kind }>;

/** What one instance says of a member. */
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** Where a peer's links listen. */
export interface FleetPeer {
  readonly id: InstanceId;
  /** `ws://IP:PORT`. */
  readonly fleetUrl: string;
}

/** Receives a message; `from` is who the link proved the sender to be. */
export type FleetMessageHandler = (message: FleetMessage, from: InstanceId) => void;
