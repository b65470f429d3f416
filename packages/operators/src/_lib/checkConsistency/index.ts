/**
 * The checks that the schema cannot express: consistency between the parts of a document.
 */
import { trialSuffix, type EnvironmentDocument } from '../../environmentSchema/index.js';
import type { DocumentFault } from '../../types.js';

/** A name and the path of the field that contains it. */
interface NameOccurrence {
  readonly name: string;
  readonly path: readonly PropertyKey[];
}

/**
 * Checks the parts of a document for consistency with each other.
 *
 * @param document - a document that matches the schema
 * @returns the faults found; empty if there are none
 */
export function checkConsistency(document: EnvironmentDocument): DocumentFault[] {
  return [
    ...trialNameFaults(document),
    ...findDuplicates(
      'class',
      document.classes.map(({ name }, at) => nameAt(name, 'classes', at, 'name')),
    ),
    ...findDuplicates(
      'service',
      document.services.map(({ name }, at) => nameAt(name, 'services', at, 'name')),
    ),
    ...findDuplicates('model', modelNames(document)),
    ...findDuplicates(
      'account',
      document.accounts.map(({ id }, at) => nameAt(id, 'accounts', at, 'id')),
    ),
    ...findDuplicates('budget', budgetNames(document)),
    ...findDuplicates('key digest', keyDigestNames(document)),
    ...deadlineFaults(document),
    ...openingTokensFaults(document),
  ];
}

function nameAt(name: string, ...path: PropertyKey[]): NameOccurrence {
  return { name, path };
}

function findDuplicates(kind: string, names: readonly NameOccurrence[]): DocumentFault[] {
  const seen = new Set<string>();
  return names.flatMap(({ name, path }) => {
    const isNew = !seen.has(name);
    seen.add(name);
    if (isNew) return [];
    const displayName = name.length > 20 ? `${name.slice(0, 8)}…` : name;
    return [
      {
        path,
        isKey: false,
        message: `duplicate ${kind} ${displayName}: change or remove one of them`,
      },
    ];
  });
}

function trialNameFaults({ environment }: EnvironmentDocument): DocumentFault[] {
  if (!environment.endsWith(trialSuffix)) return [];
  const name = environment.slice(0, -trialSuffix.length);
  const message = `the trial environment uses the document of the production environment: write ${name}`;
  return [{ path: ['environment'], isKey: false, message }];
}

function modelNames({ services }: EnvironmentDocument): NameOccurrence[] {
  return services.flatMap((service, at) =>
    service.kind === 'plain'
      ? []
      : service.models.map((model, innerIndex) =>
          nameAt(model, 'services', at, 'models', innerIndex),
        ),
  );
}

function budgetNames({ accounts }: EnvironmentDocument): NameOccurrence[] {
  return accounts.flatMap(({ budgets }, at) =>
    budgets.map(({ id }, innerIndex) => nameAt(id, 'accounts', at, 'budgets', innerIndex, 'id')),
  );
}

function keyDigestNames({ accounts }: EnvironmentDocument): NameOccurrence[] {
  return accounts.flatMap(({ keyDigests }, at) =>
    keyDigests.map((digest, innerIndex) =>
      nameAt(digest, 'accounts', at, 'keyDigests', innerIndex),
    ),
  );
}

function deadlineFaults({ classes }: EnvironmentDocument): DocumentFault[] {
  return classes.flatMap(({ firstTokenDeadlineMs, totalDeadlineMs }, at) => {
    if (firstTokenDeadlineMs <= totalDeadlineMs) return [];
    const path = ['classes', at, 'firstTokenDeadlineMs'];
    const message = `the first-token deadline is later than the total deadline: write at most ${totalDeadlineMs}, or raise totalDeadlineMs`;
    return [{ path, isKey: false, message }];
  });
}

/** The sum of all tokens must be an integer that a double represents exactly. */
function openingTokensFaults({ accounts }: EnvironmentDocument): DocumentFault[] {
  const budgets = accounts.flatMap((account) => account.budgets);
  const total = budgets.reduce((sum, budget) => sum + budget.openingTokens, 0);
  if (Number.isSafeInteger(total)) return [];
  const message = `the opening tokens of all budgets add up to ${total}: the sum must be below ${Number.MAX_SAFE_INTEGER}`;
  return [{ path: ['accounts'], isKey: false, message }];
}
