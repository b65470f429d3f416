import { readFileSync } from 'node:fs';
import { totalmem } from 'node:os';

/** What a process may use of its machine. */
export interface MachineLimits {
  readonly memoryBytes: number;
  /** Number of open descriptors. */
  readonly descriptors: number;
}

/** Assumed where the operating system does not say how many descriptors a process may open. */
const assumedDescriptors = 1_024;

/**
 * Reads what this process may use of its machine, for settings that do not say it: the memory of its control group, or
 * of the machine, and its limit of open descriptors.
 *
 * @example
 * readMachineLimits();
 * //=> { memoryBytes: 8_323_000_000, descriptors: 1_024 }
 */
export function readMachineLimits(): MachineLimits {
  const constrained = process.constrainedMemory();
  const machineBytes = totalmem();
  const isConstrained = constrained > 0 && constrained < machineBytes;
  return {
    memoryBytes: isConstrained ? constrained : machineBytes,
    descriptors: readDescriptorLimit(),
  };
}

function readDescriptorLimit(): number {
  try {
    const text = readFileSync('/proc/self/limits', 'utf8');
    const limit = Number(/^Max open files\s+(\d+)/m.exec(text)?.[1]);
    return Number.isNaN(limit) ? assumedDescriptors : limit;
  } catch {
    return assumedDescriptors;
  }
}
