import { readdirSync, readFileSync } from 'node:fs';
import { bytesInKibibyte, bytesInMebibyte } from '@acaciacrank/base';

/** What a process uses of its machine. */
export interface ProcessUsage {
  /** The most memory that was resident since its start, in MiB. */
  readonly peakMb: number;
  readonly descriptors: number;
}

/**
 * Reads what a process of this machine uses.
 *
 * @throws {Error} if it is not running
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const peakKb = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
  if (Number.isNaN(peakKb)) throw new Error(`process ${pid} has ended`);
  return {
    peakMb: Math.round((peakKb * bytesInKibibyte) / bytesInMebibyte),
    descriptors: readdirSync(`/proc/${pid}/fd`).length,
  };
}
