import { readFileSync } from 'node:fs';
import { totalmem } from 'node:os';
import { bytesInMebibyte } from '../constants/index.js';

/** What a process may use of its machine. */
export interface MachineLimits {
  readonly memoryBytes: number;
  /** Number of open descriptors. */
  readonly descriptors: number;
}

/** What the settings say of a machine; undefined where they say nothing. */
export interface StatedMachineLimits {
  readonly memoryMb?: number | undefined;
  readonly maxDescriptors?: number | undefined;
}

/** Assumed where the operating system does not say how many descriptors a process may open. */
const assumedDescriptors = 1_024;

/**
 * Returns what this process may use of its machine. Where the settings do not say it: the memory of its control group, or
 * of the machine, and its limit of open descriptors.
 *
 * @param stated - what the settings say
 *
 * @example
 * readMachineLimits({ memoryMb: 255 });
 * //=> { memoryBytes: 267_386_880, descriptors: 1_024 }
 */
export function readMachineLimits({
  memoryMb,
  maxDescriptors,
}: StatedMachineLimits = {}): MachineLimits {
  return {
    memoryBytes: memoryMb === undefined ? readMemoryBytes() : memoryMb * bytesInMebibyte,
    descriptors: maxDescriptors ?? readDescriptorLimit(),
  };
}

function readMemoryBytes(): number {
  const constrained = process.constrainedMemory();
  const machineBytes = totalmem();
  const isConstrained = constrained > 0 && constrained < machineBytes;
  return isConstrained ? constrained : machineBytes;
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
