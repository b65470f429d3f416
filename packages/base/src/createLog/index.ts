import bunyan from 'bunyan';

/** A structured logger. Log state changes only; count frequent events in metrics instead. */
export type Log = bunyan;

/** The part of a writable stream that a logger uses. */
export interface LogSink {
  write(line: string): unknown;
}

/** Options of {@link createLog}. */
export interface CreateLogOptions {
  /** The lowest level that is written; `info` by default. */
  level?: 'debug' | 'info' | 'warn' | 'error' | 'fatal';
  /** Fields to add to every line, for example the instance id. */
  fields?: Record<string, string>;
  /** Where to write lines; standard error by default, so that standard output is left for results. */
  stream?: LogSink;
}

/**
 * Creates a bunyan logger that writes to standard error by default.
 *
 * @param name - the program's name
 * @param options - level, common fields and stream
 * @returns the logger
 *
 * @example
 * const log = createLog('acaciacrank', { fields: { instanceId: 'a1' } });
 * log.info({ version: 7 }, 'configuration in force');
 */
export function createLog(name: string, options: CreateLogOptions = {}): Log {
  return bunyan.createLogger({
    name,
    ...options.fields,
    level: options.level ?? 'info',
    // bunyan's type requires a full writable stream, but it only calls `write`.
    stream: (options.stream ?? process.stderr) as NodeJS.WritableStream,
  });
}
