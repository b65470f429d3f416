/**
 * The schema of scenario files: a fleet, traffic, timed events and expectations.
 */
import { z } from 'zod';
import { durationPattern, parseDuration } from '../_lib/parseDuration/index.js';

const duration = z
  .string()
  .regex(durationPattern, 'write a duration such as 200ms, 5s or 10min')
  .transform(parseDuration);
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
});

const at = { at: duration };

const event = z.union([
  z.strictObject({ ...at, crash: actor }),
  z.strictObject({ ...at, start: actor }),
  z.strictObject({ ...at, stop: actor }),
  z.strictObject({ ...at, pause: actor, for: duration }),
  z.strictObject({ ...at, cut: z.array(actor), for: duration }),
  z.strictObject({ ...at, storeDown: duration }),
  z.strictObject({ ...at, loseAnswers: actor, count }),
  z.strictObject({ ...at, silence: actor, to: z.enum(['store', 'engine', 'service', 'fleet']) }),
  z.strictObject({ ...at, leave: actor }),
  z.strictObject({ ...at, topUp: z.string(), tokens: count, by: actor.default('operator') }),
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
