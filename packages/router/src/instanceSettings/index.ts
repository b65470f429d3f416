/**
 * The settings of one instance.
 */
import * as z from 'zod';

const address = z.strictObject({
  /** An IP address; host names are not resolved. */
  ip: z.ipv4('write an IPv4 address').or(z.ipv6('write an IPv4 or IPv6 address')),
  /** 0 lets the operating system choose a port. */
  port: z.number().int().min(0).max(65_535),
});

/** Schema of the settings of an instance. */
export const instanceSettingsSchema = z.strictObject({
  instanceId: z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'write letters, digits or . _ -'),
  failureDomain: z.string().min(1),
  environment: z.string().min(1),
  /** Address for callers. */
  callers: address,
  /** Address for operators; separate from the callers' port. */
  operators: address.extend({
    /** SHA-256 of the operators' key, in hexadecimal. */
    keyDigest: z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'write the SHA-256 of the key, 64 hexadecimal digits'),
  }),
  /**
   * Address for links to other instances; without it the instance runs standalone. The links are not
   * encrypted: see DESIGN.md.
   */
  fleet: address
    .extend({
      /** Shared by the instances of an environment. The first key signs; all keys are accepted. */
      keys: z
        .array(z.string().min(16, 'write 16 or more characters'))
        .min(1)
        .max(2, 'write the key, or the new and the old one during a key rotation'),
    })
    .optional(),
  /** What the process may use of its machine; by default what the operating system says. */
  machine: z
    .strictObject({
      /** Memory, in MiB. */
      memoryMb: z.number().positive().optional(),
      /** Number of open descriptors. */
      maxDescriptors: z.number().int().positive().optional(),
    })
    .optional(),
  /** Time limit of a planned stop, after which requests in progress are cut off, in milliseconds. */
  stopLimitMs: z.number().int().positive().default(600_000),
  platformUrl: z.url('write http://IP:PORT of the platform'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

/** The settings of one instance. */
export type InstanceSettings = z.infer<typeof instanceSettingsSchema>;
