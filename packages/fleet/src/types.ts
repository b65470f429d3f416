/**
 * Messages between instances; their schemas are in `messageSchemas`.
 */
import type { InstanceId } from '@acaciacrank/base';
import type { z } from 'zod';
import type {
  crashReportSchema,
  fleetMessageSchema,
  fleetRequestSchema,
  fleetReplySchema,
  memberRecordSchema,
} from './messageSchemas/index.js';

/** A message between instances. */
export type FleetMessage = z.infer<typeof fleetMessageSchema>;

/** A message of one kind. */
export type FleetMessageOf<Kind extends FleetMessage['kind']> = Extract<
  FleetMessage,
  { kind: Kind }
>;

/** A request that a peer replies to. */
export type FleetRequest = z.infer<typeof fleetRequestSchema>;

/** A reply to a request. */
export type FleetReply = z.infer<typeof fleetReplySchema>;

/** A reply of one kind. */
export type FleetReplyOf<Kind extends FleetReply['kind']> = Extract<FleetReply, { kind: Kind }>;

/** A crash of an upstream, as an instance reports it; ages are relative to when it is sent. */
export type CrashReportMessage = z.infer<typeof crashReportSchema>;

/** The gossiped record of a member. */
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** Address on which a peer accepts links. */
export interface FleetPeer {
  readonly id: InstanceId;
  /** `ws://IP:PORT`. */
  readonly fleetUrl: string;
}

/** Handles a received message; `from` is the authenticated id of the sender. */
export type FleetMessageHandler = (message: FleetMessage, from: InstanceId) => void;
