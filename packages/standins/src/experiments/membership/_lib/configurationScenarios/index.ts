/**
 * Scenarios in which only one instance reads a new configuration version from the store, so that all
 * others must get it over the links between instances.
 */
import type { MemberFleet } from '../../../../_lib/MemberFleet/index.js';

/**
 * Runs one scenario and returns the time until the version was in force everywhere, in milliseconds;
 * undefined if that took longer than the limit.
 */
export type ConfigurationScenario = (fleet: MemberFleet) => Promise<number | undefined>;

const limitMs = 60_000;
const isInForceEverywhere = (fleet: MemberFleet) => () => fleet.isInForce(2);

/** The scenarios by name. */
export const configurationScenarios: Readonly<Record<string, ConfigurationScenario>> = {
  storeDown: (fleet) => {
    fleet.applyVersion('i1', 2);
    return fleet.timeUntil(isInForceEverywhere(fleet), limitMs);
  },
  lossyLinks: (fleet) => {
    const ids = [...fleet.nodes.keys()];
    for (const from of ids) for (const to of ids) fleet.network.setLossRatio(from, to, 0.2);
    fleet.applyVersion('i1', 2);
    return fleet.timeUntil(isInForceEverywhere(fleet), limitMs);
  },
  partitionHealed: async (fleet) => {
    const ids = [...fleet.nodes.keys()];
    fleet.network.partition(ids.slice(0, ids.length / 2), ids.slice(ids.length / 2));
    await fleet.clock.advance(20_000);
    fleet.applyVersion('i1', 2);
    await fleet.clock.advance(20_000);
    fleet.network.heal();
    return fleet.timeUntil(isInForceEverywhere(fleet), limitMs);
  },
  justStarted: async (fleet) => {
    fleet.applyVersion('i1', 2);
    await fleet.timeUntil(isInForceEverywhere(fleet), limitMs);
    fleet.crash('i3');
    fleet.start('i3');
    return fleet.timeUntil(isInForceEverywhere(fleet), limitMs);
  },
};
