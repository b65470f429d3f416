/**
 * The schema of an environment document.
 */
import * as z from 'zod';

/** Maximum number of keys per account: the old and the new one during a rotation. */
export const maxKeysPerAccount = 2;

/** Name suffix of trial environments, where documents are tried before production. */
export const trialSuffix = '.trial';

const id = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'write 1 to 64 letters, digits or . _ - here');

/** The error to avoid first where a policy must choose; the budget limit itself is never relaxed. */
const weighs = z.enum(['overspend', 'falseRefusals']);

const budget = z.strictObject({
  id,
  /** Initial number of tokens; later changes are made by top-ups, not by editing the document. */
  openingTokens: z.number().int().nonnegative().max(1_000_000_000_000),
});

const account = z.strictObject({
  id,
  /** SHA-256 of each valid key, in hexadecimal; two during a key rotation. */
  keyDigests: z
    .array(
      z.string().regex(/^[0-9a-f]{64}$/, 'write the SHA-256 of the key, 64 hexadecimal digits'),
    )
    .min(1)
    .max(maxKeysPerAccount),
  /** Overrides the environment's value for this account. */
  weighs: weighs.optional(),
  budgets: z.array(budget).min(1),
});

const priorityClass = z.strictObject({
  name: id,
  /** Deadline for the first token or for the response, in milliseconds. */
  firstTokenDeadlineMs: z.number().int().positive(),
  /** Deadline for the whole request, in milliseconds. */
  totalDeadlineMs: z.number().int().positive().max(3_600_000),
});

const modelVersion = z.strictObject({ model: id, version: id });

/** The models and adapters that the engines of a service must load, and their role. */
const holds = z.strictObject({
  models: z.array(modelVersion).default([]),
  adapters: z.array(modelVersion.extend({ adapter: id })).default([]),
  role: z.enum(['prefill', 'decode', 'both']).default('both'),
  /** Maximum number of loads from the weight store per minute, for the whole service. */
  loadsPerMinute: z.number().positive().max(600).default(6),
});

const engineService = z.strictObject({
  name: id,
  kind: z.literal('engines'),
  models: z.array(id).min(1),
  /** Minimum number of prompt bytes per token; determines the worst-case reservation. */
  minBytesPerToken: z.number().positive().default(1),
  /** Maximum number of tokens of one response. */
  maxOutputTokens: z.number().int().positive().default(4096),
  /** Whether the engines reject orders (what to load, see `holds`) with an outdated fencing number. */
  checksFencing: z.boolean(),
  /** If absent, the engines are not ordered to load models or adapters or to take a role. */
  holds: holds.optional(),
});

const method = z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']);

const repeatableCall = z.strictObject({
  method,
  /** `*` matches one segment, `**` at the end all remaining ones. The query is ignored. */
  path: z
    .string()
    .regex(
      /^(\/(\*|[A-Za-z0-9._~-]+))*(\/\*\*)?\/?$/,
      'write a path such as /shelters/*/availability; ** is allowed at the end only',
    )
    .min(1),
});

const plainService = z.strictObject({
  name: id,
  kind: z.literal('plain'),
  /** Methods that are idempotent for every path. */
  repeatableMethods: z.array(method).default(['GET', 'HEAD']),
  /** Other idempotent calls, by method and path pattern. */
  repeatableCalls: z.array(repeatableCall).default([]),
  /** Cost of one call, in tokens. */
  tokensPerCall: z.number().int().nonnegative().default(0),
});

/** Schema of an environment document. */
export const environmentSchema = z.strictObject({
  environment: id,
  /**
   * The production version that this document was edited from. The document is refused if another
   * version is in force.
   */
  basedOnVersion: z.number().int().nonnegative().optional(),
  /**
   * The error to avoid first. In `examples/`, kapiti chooses `overspend`, because a duplicate charge is
   * worse for it than a refusal, and refugios `falseRefusals`, because a refused caller goes to a
   * competitor. The budget limit itself is never relaxed.
   */
  weighs: weighs.default('overspend'),
  /** Ordered by priority, highest first. */
  classes: z.array(priorityClass).min(1),
  services: z.array(z.discriminatedUnion('kind', [engineService, plainService])).min(1),
  accounts: z.array(account).min(1),
});

/** A validated environment document. */
export type EnvironmentDocument = z.infer<typeof environmentSchema>;
/** One client account of an environment. */
export type AccountDocument = EnvironmentDocument['accounts'][number];
/** One service of an environment. */
export type ServiceDocument = EnvironmentDocument['services'][number];
/** A service that is provided by model engines. */
export type EngineServiceDocument = Extract<ServiceDocument, { kind: 'engines' }>;
/** A service that is provided by plain HTTP upstreams. */
export type PlainServiceDocument = Extract<ServiceDocument, { kind: 'plain' }>;
/** One priority class. */
export type ClassDocument = EnvironmentDocument['classes'][number];
