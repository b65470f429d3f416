import { epochOf, type StoreChange, type StoreChanges } from '@acaciacrank/store';

/** Changes that are kept for peers; a peer that is further behind reads the store itself. */
const maxChanges = 512;

/** The recent changes under one prefix of the store, as this instance has read them. */
export class ChangeLog {
  readonly #waiters = new Set<() => void>();
  #changes: StoreChange[] = [];
  /** All changes after this revision are in the log. */
  #baseRevision: number;
  #revision: number;

  constructor(revision: number) {
    this.#baseRevision = revision;
    this.#revision = revision;
  }

  /** Adds what was read after a revision; starts anew if changes before that are missing. */
  add(sinceRevision: number, { changes, revision }: StoreChanges): void {
    if (sinceRevision !== this.#revision) {
      this.#changes = [];
      this.#baseRevision = sinceRevision;
    }
    this.#changes.push(...changes);
    this.#revision = revision;
    const dropped = this.#changes.splice(0, this.#changes.length - maxChanges);
    this.#baseRevision = dropped.at(-1)?.revision ?? this.#baseRevision;
    if (changes.length > 0) this.wake();
  }

  /** The changes after a revision; undefined if they are not all in the log. */
  since(revision: number): StoreChanges | undefined {
    if (revision < this.#baseRevision || epochOf(revision) !== epochOf(this.#revision)) {
      return undefined;
    }
    return {
      changes: this.#changes.filter((change) => change.revision > revision),
      revision: Math.max(revision, this.#revision),
    };
  }

  /** Resolves when changes were added, or when the signal is aborted. */
  async waitForChanges(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        this.#waiters.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.#waiters.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  /** Ends all waits. */
  wake(): void {
    for (const finish of [...this.#waiters]) finish();
  }
}
