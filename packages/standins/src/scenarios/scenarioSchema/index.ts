/**
 * The schema of scenario files: a fleet, traffic, timed events and expectations.
 */
import * as z from 'zod';
import { durationPattern, parseDuration } from '../_lib/parseDuration/index.js';

const duration = z
  .string()
  .regex(durationPattern, 'write a duration such as 200ms, 5s or 10min')
  .transform(parseDuration);
/** Id of an instance, an upstream or an operator. */
const actor = z.string().min(1);
const count = z.number().int().nonnegative();

const traffic = z.strictObject({
  /** Prefix of the idempotency keys of these requests. */
  name: z.string().min(1),
  kind: z.enum(['chat', 'read', 'write']),
  from: duration,
  to: duration,
  every: duration,
  /** `directory`, or the id of the instance that is called first. */
  at: z.string().default('directory'),
  /** The caller disconnects after this many tokens and retries with the same idempotency key. */
  hangUpAfterTokens: count.optional(),
  /** A message that all prompts of this traffic begin with. */
  context: z.string().min(1).optional(),
});

const at = { at: duration };

const event = z.union([
  /** An instance crashes. */
  z.strictObject({ ...at, crash: actor }),
  /** An instance is added to the fleet. */
  z.strictObject({ ...at, start: actor }),
  /** Planned stop: an instance is drained, then ended. */
  z.strictObject({ ...at, stop: actor }),
  /** The process of an actor is paused. */
  z.strictObject({ ...at, pause: actor, for: duration }),
  /** Actors are cut off from the platform and from their peers. */
  z.strictObject({ ...at, cut: z.array(actor), for: duration }),
  /** The platform is unavailable to all actors. */
  z.strictObject({ ...at, storeDown: duration }),
  /** The responses to the actor's next `count` store writes are lost; the writes take effect. */
  z.strictObject({ ...at, loseAnswers: actor, count }),
  /**
   * The open connections of an actor to a kind of peer fall silent and new ones work; with `fleet`, all
   * links between the instance and the others fall silent.
   */
  z.strictObject({ ...at, silence: actor, to: z.enum(['store', 'engine', 'service', 'fleet']) }),
  /** All upstreams of a kind stay connected and say nothing, then continue. */
  z.strictObject({ ...at, pauseUpstreams: z.enum(['engine', 'service', 'all']), for: duration }),
  /** An upstream begins to leave: it rejects new requests and finishes those in progress. */
  z.strictObject({ ...at, leave: actor }),
  /** An engine refuses new requests, and asks each time to be sent nothing for the backoff. */
  z.strictObject({ ...at, overload: actor, for: duration, backoff: duration }),
  /** An engine starts again under its id with another version of its software; its streams are lost. */
  z.strictObject({ ...at, startAgain: actor, version: z.string() }),
  /** Upstreams end under each request whose key or shared message contains a text, and are down for a while. */
  z.strictObject({ ...at, deadly: z.string().min(1), down: duration }),
  /** An operator tops up the budget; the value is the id of the top-up. */
  z.strictObject({ ...at, topUp: z.string(), tokens: count, by: actor.default('operator') }),
  /** An operator promotes a document with this note, based on version `from`. */
  z.strictObject({
    ...at,
    promote: z.string(),
    by: actor.default('operator'),
    from: count.optional(),
  }),
]);

const bounds = z.strictObject({ atLeast: z.number().optional(), atMost: z.number().optional() });

/** Validates a scenario and converts its durations to milliseconds. */
export const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  /** What happens in the scenario and which failure it tests, in prose. */
  story: z.string().min(1),
  seed: z.number().int().default(1),
  fleet: z
    .strictObject({
      instances: z.number().int().min(1).max(8).default(3),
      engines: z.number().int().min(1).max(8).default(3),
      services: z.number().int().min(1).max(4).default(2),
      budgetTokens: z.number().int().positive().default(100_000),
    })
    .prefault({}),
  traffic: z.array(traffic).default([]),
  events: z.array(event).default([]),
  /** Time to wait after the last event and request before the result is measured. */
  settle: duration.prefault('120s'),
  expect: z.strictObject({
    /** Percentage of the requests that were answered, after all retries. */
    answeredPercent: bounds.optional(),
    /** Number of refused attempts by error kind. */
    refused: z.record(z.string(), bounds).default({}),
    /** Number of requests that overloaded engines refused, from all instances. */
    refusedForOverload: bounds.optional(),
    /** Number of times that upstreams ended under deadly requests. */
    endedUpstreams: bounds.optional(),
    /** Tokens that were settled in the budget. */
    settledTokens: bounds.optional(),
    /** Latest accepted configuration version. */
    version: bounds.optional(),
    /** Time from the acceptance of a version until it was in force everywhere, in milliseconds. */
    inForceMs: bounds.optional(),
    /** Duration of the slowest attempt, in milliseconds. */
    slowestAttemptMs: bounds.optional(),
  }),
});

/** A checked scenario; durations are milliseconds. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** One event of a scenario. */
export type ScenarioEvent = Scenario['events'][number];
/** One workload of a scenario: requests of one kind at a fixed interval. */
export type ScenarioTraffic = Scenario['traffic'][number];
/** Inclusive bounds of a measured value. */
export type Bounds = z.infer<typeof bounds>;
