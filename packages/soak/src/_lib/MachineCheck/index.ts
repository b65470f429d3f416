import type { InvariantName } from '../../types.js';
import type { InstanceProcess, MachineLimits } from '../InstanceProcess/index.js';
import { readProcessUsage, type ProcessUsage } from '../readProcessUsage/index.js';

/** Options of {@link MachineCheck}. */
export interface MachineCheckOptions {
  readonly machine: MachineLimits;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** Signals and the exit code with which the soak itself ends processes. */
const wantedExits: ReadonlySet<string> = new Set(['SIGKILL', 'SIGTERM', '0']);

/** Checks that processes end only if they are to, and use no more than their machine has. */
export class MachineCheck {
  readonly #options: MachineCheckOptions;
  readonly #checkedExits = new Map<InstanceProcess, number>();

  constructor(options: MachineCheckOptions) {
    this.#options = options;
  }

  /** Looks at the processes once. */
  check(processes: readonly InstanceProcess[]): void {
    for (const [index, process] of processes.entries()) {
      this.#checkExits(index, process);
      const usage = usageOf(process);
      if (usage !== undefined) this.#checkUsage(index, usage);
    }
  }

  #checkExits(index: number, process: InstanceProcess): void {
    const exits = process.exits.slice(this.#checkedExits.get(process) ?? 0);
    this.#checkedExits.set(process, process.exits.length);
    const unwanted = exits.filter((exit) => !wantedExits.has(exit));
    if (unwanted.length > 0)
      this.#violate(`instance ${index} has ended by itself: ${unwanted.join(', ')}`);
  }

  #checkUsage(index: number, { peakMb, descriptors }: ProcessUsage): void {
    const { memoryMb, maxFds } = this.#options.machine;
    if (peakMb > memoryMb) this.#violate(`instance ${index} has used ${peakMb} MiB`);
    if (descriptors > maxFds) this.#violate(`instance ${index} has ${descriptors} descriptors`);
  }

  #violate(what: string): void {
    this.#options.onViolation('machineLimits', what);
  }
}

/** Undefined while the process is not running. */
function usageOf({ pid }: InstanceProcess): ProcessUsage | undefined {
  try {
    return pid === undefined ? undefined : readProcessUsage(pid);
  } catch {
    return undefined;
  }
}
