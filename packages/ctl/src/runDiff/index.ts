import { digestText, RouterError } from '@acaciacrank/base';
import {
  compileEnvironment,
  describeChanges,
  diffConfigurations,
  environmentStore,
  MemoryConfigurationObjects,
  objectsOf,
  FailoverConfigurationObjects,
  readTrialRun,
  StoreConfigurationObjects,
  trialEnvironmentOf,
  type ConfigurationChange,
  type EnvironmentDocument,
} from '@acaciacrank/operators';
import { readDocumentFile, readCurrentManifest } from '../_lib/readEnvironment/index.js';
import type { CommandContext, CommandResult } from '../types.js';

/**
 * Compares a document with the accepted version in production.
 *
 * @throws RouterError `badDocument` or `storeUnavailable`
 *
 * @example
 * const { data } = await runDiff(context, 'kapiti.yaml');
 */
export async function runDiff(context: CommandContext, path: string): Promise<CommandResult> {
  const { text, document } = readDocumentFile(path);
  const { environment } = document;
  const inForce = await readCurrentManifest(context, environment);
  const changes = await diffDocument(context, document, environment);
  const trialEnvironment = trialEnvironmentOf(environment);
  const digest = digestText(text);
  const trialRun = await readTrialRun(
    environmentStore(context.store, trialEnvironment),
    trialEnvironment,
    digest,
  );
  const trialSummary =
    trialRun === undefined
      ? `Trial has not run these bytes.\nNext: acaciacrankctl try ${path}`
      : `Trial has run these bytes (version ${trialRun.version} of ${trialEnvironment}).\nNext: acaciacrankctl promote ${path}`;
  const heading =
    inForce === undefined
      ? `Nothing is in force in ${environment} yet; all of ${path} would be new.`
      : `${path} against version ${inForce.version} of ${environment}: ${changes.length} changes.`;
  return {
    isCertain: true,
    text: [
      heading,
      ...describeChanges(changes),
      'Nothing was changed anywhere.',
      trialSummary,
    ].join('\n'),
    data: { environment, version: inForce?.version ?? 0, changes, isTried: trialRun !== undefined },
  };
}

/** Returns the changes that a document makes to the accepted configuration of an environment. */
export async function diffDocument(
  context: CommandContext,
  document: EnvironmentDocument,
  environment: string,
): Promise<ConfigurationChange[]> {
  const inForce = await readCurrentManifest(context, environment);
  const compiled = compileEnvironment(document);
  const textsByDigest = new Map([...objectsOf(compiled)].map(({ digest, text }) => [digest, text]));
  const store = environmentStore(context.store, environment);
  const sources = [
    new MemoryConfigurationObjects(textsByDigest),
    new StoreConfigurationObjects(store, environment),
  ];
  const source = new FailoverConfigurationObjects({ sources, clock: context.clock });
  return diffConfigurations(source, inForce?.root, compiled.root);
}

/**
 * Describes the changes that a document makes, as an addition to the output of another command.
 *
 * A {@link RouterError} is reported in the text instead of thrown, so that it does not fail that
 * command.
 */
export async function describeDocumentChanges(
  context: CommandContext,
  document: EnvironmentDocument,
  environment: string,
): Promise<string[]> {
  try {
    const changes = await diffDocument(context, document, environment);
    if (changes.length === 0) return [`Nothing differs from what is in force in ${environment}.`];
    return [`Changes against ${environment}:`, ...describeChanges(changes, 20)];
  } catch (error) {
    if (!(error instanceof RouterError)) throw error;
    return [`What changes against ${environment} is unknown: ${error.message}`];
  }
}
