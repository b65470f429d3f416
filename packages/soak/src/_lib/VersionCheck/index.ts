import type { InvariantName } from '../../types.js';

/** Options of {@link VersionCheck}. */
export interface VersionCheckOptions {
  readonly onViolation: (invariant: InvariantName, what: string) => void;
  /** Whether no fault was in force in a time span; in milliseconds from the start of the run. */
  readonly isUndisturbed: (fromMs: number, toMs: number) => boolean;
}

/** A stream that its caller has taken up, as far as it has arrived. */
export interface TakenUpStream {
  readonly id: string;
  /** The events of all attempts of its caller. */
  readonly body: string;
  readonly beganAtMs: number;
  readonly endedAtMs: number;
  /** Whether it came to its end. */
  readonly wentOn: boolean;
}

/** Least share of the taken up streams that continue in calm times, and the number from which that is checked. */
const calm = { minShare: 0.95, minCount: 20 } as const;

/** Checks that no stream has events of two software versions, and that those which callers take up continue. */
export class VersionCheck {
  readonly #options: VersionCheckOptions;
  readonly #takenUp: TakenUpStream[] = [];

  constructor(options: VersionCheckOptions) {
    this.#options = options;
  }

  /** Number of streams that callers have taken up, and of those that continued. */
  get counts(): { readonly takenUp: number; readonly wentOn: number } {
    return { takenUp: this.#takenUp.length, wentOn: this.#takenUp.filter(hasGoneOn).length };
  }

  /** Records the events of one answer, or of several that belong to one stream. */
  noteEvents(id: string, body: string): void {
    const versions = [...body.matchAll(/^data: \S+ \d+ of \d+ (\S+)$/gm)].map(
      ([, one = '']) => one,
    );
    const different = [...new Set(versions)];
    if (different.length <= 1) return;
    this.#options.onViolation('softwareVersion', `${id} has events of ${different.join(' and ')}`);
  }

  /** Records what became of a stream that its caller has taken up. */
  noteTakenUp(stream: TakenUpStream): void {
    this.noteEvents(stream.id, stream.body);
    this.#takenUp.push(stream);
  }

  /** Checks the share of taken up streams that continued in calm times. */
  finish(): void {
    const { isUndisturbed, onViolation } = this.#options;
    const inCalm = this.#takenUp.filter((one) => isUndisturbed(one.beganAtMs, one.endedAtMs));
    const wentOn = inCalm.filter(hasGoneOn).length;
    if (inCalm.length < calm.minCount || wentOn >= calm.minShare * inCalm.length) return;
    onViolation('softwareVersion', `${wentOn} of ${inCalm.length} streams taken up went on`);
  }
}

function hasGoneOn({ wentOn }: TakenUpStream): boolean {
  return wentOn;
}
