import { RouterError, SystemClock } from '@acaciacrank/base';
import { PlatformObjectStore } from '@acaciacrank/platform';
import { StoredInstanceList } from '@acaciacrank/store';
import { readFileSync } from 'node:fs';
import { HttpOperatorPortClient } from '../HttpOperatorPortClient/index.js';
import type { CommandContext } from '../types.js';

/** Environment variables that are used where the options are not given. */
export const environmentVariables = {
  platform: 'ACACIACRANK_PLATFORM',
  operatorsKey: 'ACACIACRANK_OPERATORS_KEY',
} as const;

/** Default time that commands wait for instances to act on a change, in milliseconds. */
export const defaultWaitMs = 10_000;

/** Command-line options that determine the context. */
export interface ContextOptions {
  readonly platform?: string | undefined;
  readonly keyFile?: string | undefined;
  readonly waitMs?: number | undefined;
}

/**
 * Creates the context of the commands for a running platform.
 *
 * The operators' key is read from a file or an environment variable, never from an argument:
 * arguments are visible in process lists and in the shell's history.
 *
 * @param options - options from the command line
 * @returns the context
 * @throws RouterError `badRequest` when the platform's URL is missing or malformed, or when the key
 * file cannot be read
 *
 * @example
 * const context = createContext({ platform: 'http://127.0.0.1:7000' });
 */
export function createContext(options: ContextOptions): CommandContext {
  const url = options.platform ?? process.env[environmentVariables.platform];
  if (url === undefined || !/^https?:\/\/\S+$/.test(url)) {
    throw new RouterError(
      'badRequest',
      `the platform's URL is missing or malformed: use --platform http://IP:PORT or set ${environmentVariables.platform}`,
    );
  }
  const clock = new SystemClock();
  const store = new PlatformObjectStore({ url, clock });
  return {
    clock,
    store,
    instanceList: new StoredInstanceList(store),
    operatorPortClient: new HttpOperatorPortClient({ clock, key: readKey(options.keyFile) }),
    waitMs: options.waitMs ?? defaultWaitMs,
  };
}

function readKey(keyFile: string | undefined): string | undefined {
  if (keyFile === undefined) return process.env[environmentVariables.operatorsKey];
  try {
    return readFileSync(keyFile, 'utf8').trim();
  } catch (error) {
    throw new RouterError('badRequest', `${keyFile} cannot be read`, { cause: error as Error });
  }
}
