/**
 * Informs all instances, as the home of services, of what is suspect and blamed there.
 */
import type { Clock, ServiceName } from '@acaciacrank/base';
import type { FleetMessageOf } from '@acaciacrank/fleet';
import {
  endsToIsolate,
  repliesMs,
  type ServiceBlame,
  type SuspectFeatures,
} from '@acaciacrank/routing';

/** What a home sends: what is blamed at a service, what is suspect there, and what it asks about. */
export type CrashSuspects = FleetMessageOf<'crashSuspects'>;

/** Options of {@link SuspectAnnouncer}. */
export interface SuspectAnnouncerOptions {
  suspects: SuspectFeatures;
  clock: Clock;
  /** Sends a message to all other instances. */
  sendToAll: (message: CrashSuspects) => void;
  /** Called when there may be news, so that {@link SuspectAnnouncer.announce} is called again if this is a home still. */
  onDue: (service: ServiceName) => void;
}

/** Limits on the items of one message. */
const maxInMessage = { features: 256, blames: 64 } as const;
/** Time between two announcements, in milliseconds: each crash is reported by many instances. */
const intervalMs = 20;

/** Sends an announcement when its content changes, at most one in {@link intervalMs} for each service. */
export class SuspectAnnouncer {
  readonly #options: SuspectAnnouncerOptions;
  /** What was last announced, by service. */
  readonly #announced = new Map<ServiceName, string>();
  /** Services of which an announcement was sent a moment ago, and whether there is news since. */
  readonly #announcing = new Map<ServiceName, { hasNews: boolean }>();

  constructor(options: SuspectAnnouncerOptions) {
    this.#options = options;
  }

  /** Announces what is known of a service, unless all instances have been informed of it. */
  announce(service: ServiceName): void {
    const recent = this.#announcing.get(service);
    if (recent !== undefined) {
      recent.hasNews = true;
      return;
    }
    this.#send(service);
    const current = { hasNews: false };
    this.#announcing.set(service, current);
    const { clock, onDue } = this.#options;
    clock.schedule(intervalMs, () => {
      this.#announcing.delete(service);
      if (current.hasNews) onDue(service);
    });
  }

  /** What is blamed at a service, and what is suspect there after several crashes. */
  describe(service: ServiceName): CrashSuspects {
    const { suspects: known } = this.#options;
    const suspects = [...known.suspectsOf(service)]
      .filter(([, crashCount]) => crashCount >= endsToIsolate)
      .slice(0, maxInMessage.features)
      .map(([feature, crashCount]) => ({ feature, crashCount }));
    const questions = known.questionsOf(service).slice(0, maxInMessage.features);
    const blames = this.describeBlames(service);
    return { kind: 'crashSuspects', service, blames, suspects, questions: [...questions] };
  }

  /** What is blamed at a service. */
  describeBlames(service: ServiceName): CrashSuspects['blames'] {
    const { suspects, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    return suspects.blamed
      .witnessed()
      .filter((blame) => blame.service === service)
      .slice(0, maxInMessage.blames)
      .map(({ features, crashCount, sinceMs }: ServiceBlame) => {
        return { features: [...features], crashCount, ageMs: Math.max(0, nowMs - sinceMs) };
      });
  }

  #send(service: ServiceName): void {
    const { suspects: known, clock, sendToAll, onDue } = this.#options;
    const message = this.describe(service);
    const { suspects, questions } = message;
    const blames = message.blames.map((blame) => blame.features);
    const state = JSON.stringify([blames, suspects, questions, known.crashCount(service)]);
    const hasNothing = blames.length + suspects.length + questions.length === 0;
    if (state === this.#announced.get(service)) return;
    if (hasNothing && !this.#announced.has(service)) return;
    if (hasNothing) this.#announced.delete(service);
    else this.#announced.set(service, state);
    sendToAll(message);
    if (suspects.length + questions.length === 0) return;
    known.recordAsked(service);
    clock.schedule(repliesMs, () => {
      onDue(service);
    });
  }
}
