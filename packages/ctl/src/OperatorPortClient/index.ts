import type { ListedInstance } from '@acaciacrank/store';
import type { InstanceAnswer } from '../types.js';

/** Client of the operators' ports, the administration endpoints of instances. */
export abstract class OperatorPortClient {
  /**
   * Asks an instance for its status.
   *
   * @throws RouterError `upstreamUnavailable` when the status is unknown; the message contains the reason
   */
  abstract status(entry: ListedInstance): Promise<InstanceAnswer>;

  /**
   * Begins a planned stop of an instance, which finishes its open requests first.
   *
   * @throws RouterError `upstreamUnavailable`; if its `ran` is `unknown`, the stop may have begun
   */
  abstract drain(entry: ListedInstance): Promise<InstanceAnswer>;
}
