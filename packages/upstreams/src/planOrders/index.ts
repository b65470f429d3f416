import type { UpstreamId } from '@acaciacrank/base';
import type {
  AdapterVersion,
  EngineOrder,
  EngineRole,
  EngineState,
  ModelVersion,
} from '../types.js';

/** The desired state of one engine. */
export interface EngineTarget {
  readonly models: readonly ModelVersion[];
  readonly adapters: readonly AdapterVersion[];
  readonly role: EngineRole;
  /** Receiver of the engine's KV cache if the engine is leaving; otherwise undefined. */
  readonly kvReceiverId?: UpstreamId | undefined;
}

/**
 * Returns the orders that bring an engine from its reported state to its desired state.
 *
 * An engine that is leaving gets no order but one to transfer its KV cache, if it supports that and
 * has not done so yet.
 *
 * @param target - the desired state
 * @param state - the reported state
 * @returns the orders; empty if the two states agree
 *
 * @example
 * planOrders({ models: [], adapters: [], role: 'decode' }, state);
 * //=> [{ kind: 'changeRole', role: 'decode' }]
 */
export function planOrders(target: EngineTarget, state: EngineState): EngineOrder[] {
  const { kvReceiverId: receiverId } = target;
  if (receiverId !== undefined) {
    const isDue = state.offersKvExport && state.kvExportedTo === undefined;
    return isDue ? [{ kind: 'exportKv', receiverId }] : [];
  }
  const models = target.models
    .filter((wanted) => !state.models.some((held) => isSameModel(held, wanted)))
    .map((wanted): EngineOrder => ({ kind: 'loadModel', ...wanted }));
  const adapters = target.adapters
    .filter((wanted) => !state.adapters.some((held) => isSameAdapter(held, wanted)))
    .map((wanted): EngineOrder => ({ kind: 'loadAdapter', ...wanted }));
  const role: EngineOrder[] =
    target.role === state.role ? [] : [{ kind: 'changeRole', role: target.role }];
  return [...models, ...adapters, ...role];
}

function isSameModel(held: ModelVersion, wanted: ModelVersion): boolean {
  return held.model === wanted.model && held.version === wanted.version;
}

function isSameAdapter(held: AdapterVersion, wanted: AdapterVersion): boolean {
  return held.adapter === wanted.adapter && isSameModel(held, wanted);
}
