import sonicBoom, { type SonicBoom } from 'sonic-boom';

/** Options of {@link createLogStream}. */
export interface CreateLogStreamOptions {
  /** The file descriptor to write to; standard output by default. */
  fileDescriptor?: number;
  /** Maximum number of buffered bytes (1 MiB by default); further lines are dropped. */
  maxBufferedBytes?: number;
  /** Called for each dropped line and each write error. */
  onDrop: () => void;
}

/** Holds several seconds of log lines at full load; beyond that, lines are dropped to save memory. */
const defaultMaxBufferedBytes = 1_048_576;
/** Bytes to buffer before a write, since each write costs a system call. */
const minWriteBytes = 4_096;
/** Longest time that a line stays buffered before it is written, in milliseconds. */
const flushIntervalMs = 500;

/**
 * Creates a stream for log lines that never blocks its writer.
 *
 * If the reader of standard output stops reading, a synchronous write would block the whole process
 * and all its requests. This stream buffers lines in memory up to a bound, then drops further lines
 * and calls `onDrop` for each.
 *
 * @param options - the destination, the buffer size and the callback for dropped lines
 * @returns a stream for `createLog`; dispose of it to flush the buffer
 *
 * @example
 * const stream = createLogStream({ onDrop: () => metrics.count('droppedLogLines') });
 */
export function createLogStream(options: CreateLogStreamOptions): SonicBoom {
  const stream = new sonicBoom.SonicBoom({
    fd: options.fileDescriptor ?? process.stdout.fd,
    sync: false,
    minLength: minWriteBytes,
    maxLength: options.maxBufferedBytes ?? defaultMaxBufferedBytes,
    periodicFlush: flushIntervalMs,
  });
  stream.on('drop', options.onDrop);
  // Do not crash when the pipe is closed: requests can be served without a log.
  stream.on('error', options.onDrop);
  return stream;
}
