import { rmSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/**
 * How an instance is cut off from all upstreams: connections hang, are reset and refused, or live on while new ones
 * hang.
 */
export type CutForm = 'hang' | 'refuse' | 'keepOpen';

/** What the process of an instance reads. */
export interface CutOrder {
  readonly form: CutForm;
  /** Ports of the upstreams. */
  readonly ports: readonly number[];
}

/** Path of the module that applies the orders in the process of an instance, for `node --import`. */
export const cutModule = fileURLToPath(import.meta.resolve('../applyUpstreamCut/index.js'));
/** Environment variable with the path of the file that holds the order. */
export const cutFileVariable = 'SOAK_UPSTREAM_CUT';

/** Cuts one instance off from the upstreams, through a file that its process watches. */
export class UpstreamCut {
  constructor(readonly file: string) {}

  /** Begins a cut. */
  begin(order: CutOrder): void {
    writeFileSync(this.file, JSON.stringify(order));
  }

  /** Ends it. */
  end(): void {
    rmSync(this.file, { force: true });
  }
}
