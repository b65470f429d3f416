import type { ListedInstance } from '@acaciacrank/store';
import type { InstanceAnswer } from '../types.js';

/** The operators' ports of instances. */
export abstract class OperatorPorts {
  /**
   * What an instance says of itself.
   *
   * @throws RouterError `upstreamUnavailable` when that cannot be known; the message says why
   */
  abstract status(entry: ListedInstance): Promise<InstanceAnswer>;

  /**
   * Begins a planned stop.
   *
   * @throws RouterError `upstreamUnavailable`; the stop may have begun if `ran` is `unknown`
   */
  abstract drain(entry: ListedInstance): Promise<InstanceAnswer>;
}
