import { RouterError, SystemClock } from '@acaciacrank/base';
import { PlatformObjectStore } from '@acaciacrank/platform';
import { StoredInstanceList } from '@acaciacrank/store';
import { readFileSync } from 'node:fs';
import { HttpOperatorPorts } from '../HttpOperatorPorts/index.js';
import type { CommandContext } from '../types.js';

/** Environment variables that stand in for options. */
export const variables = {
  platform: 'ACACIACRANK_PLATFORM',
  operatorsKey: 'ACACIACRANK_OPERATORS_KEY',
} as const;

/** How long commands wait for instances by default, in milliseconds. */
export const defaultWaitMs = 10_000;

/** What the command line says of the context. */
export interface ContextOptions {
  readonly platform?: string | undefined;
  readonly keyFile?: string | undefined;
  readonly waitMs?: number | undefined;
}

/**
 * Makes the context of the real platform.
 *
 * The operators' key comes from a file or a variable, never from an argument: arguments stand in
 * process lists and in the shell's history.
 *
 * @param options - from the command line
 * @returns the context
 * @throws RouterError `badRequest`
 *
 * @example
 * const context = createContext({ platform: 'http://127.0.0.1:7000' });
 */
export function createContext(options: ContextOptions): CommandContext {
  const url = options.platform ?? process.env[variables.platform];
  if (url === undefined || !/^https?:\/\/\S+$/.test(url)) {
    throw new RouterError(
      'badRequest',
      `where the platform is is missing: write --platform http://IP:PORT or set ${variables.platform}`,
    );
  }
  const clock = new SystemClock();
  const store = new PlatformObjectStore({ url, clock });
  return {
    clock,
    store,
    list: new StoredInstanceList(store),
    ports: new HttpOperatorPorts({ clock, key: readKey(options.keyFile) }),
    waitMs: options.waitMs ?? defaultWaitMs,
  };
}

function readKey(keyFile: string | undefined): string | undefined {
  if (keyFile === undefined) return process.env[variables.operatorsKey];
  try {
    return readFileSync(keyFile, 'utf8').trim();
  } catch (error) {
    throw new RouterError('badRequest', `${keyFile} cannot be read`, { cause: error as Error });
  }
}
