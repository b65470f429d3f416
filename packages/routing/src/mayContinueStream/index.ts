import type { ServiceName, UpstreamId } from '@acaciacrank/base';

/** One run of an upstream, from its start to its end, and the software that it runs. */
export interface UpstreamRun {
  readonly service: ServiceName;
  readonly upstreamId: UpstreamId;
  /** When the run started, in milliseconds since 1970; undefined if not known. */
  readonly startedAtMs: number | undefined;
  /** Version of the upstream's software; undefined if not known. */
  readonly softwareVersion: string | undefined;
}
