import sonicBoom, { type SonicBoom } from 'sonic-boom';

/** Options of {@link createLogStream}. */
export interface CreateLogStreamOptions {
  /** The file descriptor to write to; standard output by default. */
  fileDescriptor?: number;
  /** The most bytes that wait to be written; lines beyond that are dropped. */
  maxBufferedBytes?: number;
  /** Called for each line that is dropped. */
  onDrop: () => void;
}

/** Some seconds of lines at full load; beyond that memory is worth more than the line. */
const defaultMaxBufferedBytes = 1_048_576;
/** Lines are gathered up to this many bytes before a write, since each write costs a system call. */
const gatheredBytes = 4_096;
/** The longest time that a line waits to be gathered, in milliseconds. */
const flushMs = 500;

/**
 * A stream for log lines that never blocks its writer.
 *
 * Guards against a reader of standard output that stops reading: a plain write would then block the
 * whole process, requests included. Here lines wait in memory up to a bound, and then are dropped
 * and counted.
 *
 * @param options - where to, how much may wait, and who counts drops
 * @returns a stream for `createLog`; dispose of it to write what is left
 *
 * @example
 * const stream = createLogStream({ onDrop: () => metrics.count('droppedLogLines') });
 */
export function createLogStream(options: CreateLogStreamOptions): SonicBoom {
  const stream = new sonicBoom.SonicBoom({
    fd: options.fileDescriptor ?? process.stdout.fd,
    sync: false,
    minLength: gatheredBytes,
    maxLength: options.maxBufferedBytes ?? defaultMaxBufferedBytes,
    periodicFlush: flushMs,
  });
  stream.on('drop', options.onDrop);
  // A closed pipe is no reason to end: requests are served without a log as well.
  stream.on('error', options.onDrop);
  return stream;
}
