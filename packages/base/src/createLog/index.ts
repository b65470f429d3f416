import bunyan from 'bunyan';

/** A structured log; lines are for changes of state only, counters tell the rest. */
export type Log = bunyan;

/** All that a log needs of the stream it writes to. */
export interface LogSink {
  write(line: string): unknown;
}

/** Options of {@link createLog}. */
export interface CreateLogOptions {
  /** The lowest level that is written. */
  level?: 'debug' | 'info' | 'warn' | 'error' | 'fatal';
  /** Fields on every line, for example the instance id. */
  fields?: Record<string, string>;
  /** Where lines go; standard error by default, so that standard output stays for results. */
  stream?: LogSink;
}

/**
 * Makes a bunyan log that writes to standard error.
 *
 * @param name - the program's name
 * @param options - level, common fields and stream
 * @returns the log
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
    // The declared type asks for a whole stream; only `write` is ever called.
    stream: (options.stream ?? process.stderr) as NodeJS.WritableStream,
  });
}
