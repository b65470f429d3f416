import test from 'ava';
import {
  createRandom,
  ManualClock,
  type FailureDomainId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { PrefillTimeModel } from '@acaciacrank/routing';
import { PromptPartLocations } from '../PromptPartLocations/index.js';
import { Upstream } from '../Upstream/index.js';
import { pickUpstream } from './index.js';

const clock = new ManualClock();
const here = 'here' as FailureDomainId;
const promptParts = [
  { id: 'a1', tokens: 20_000 },
  { id: 'b1', tokens: 100 },
];

function createEngine(id: string, softwareVersion: string): Upstream {
  const service = 'lm' as ServiceName;
  const address = { ip: '10.0.0.1', port: 80, failureDomain: here };
  const record = { id: id as UpstreamId, service, ...address, slots: 8, state: 'live' } as const;
  return new Upstream({ ...record, softwareVersion }, { clock });
}

/** Picks an engine for a prompt whose parts only a busy engine holds; returns where they are copied from. */
function copySource(holder: Upstream, other: Upstream): string | undefined {
  const promptPartLocations = new PromptPartLocations();
  promptPartLocations.recordSent('a1', holder.id, 0);
  for (let count = 0; count < 32; count += 1) {
    const prefill = { expectedMs: 1_000, promptTokens: 1, newTokens: 1, isSharedCached: true };
    holder.begin(prefill);
  }
  const pick = pickUpstream({
    candidates: [holder, other],
    attemptedIds: new Set(),
    promptParts,
    promptTokens: 20_100,
    engine: {
      slots: 8,
      cacheTokens: 400_000,
      tokensPerEvent: 5,
      cacheBytesPerToken: 1,
      copyMbps: 1_000_000,
    },
    model: new PrefillTimeModel(),
    ownDomain: here,
    promptPartLocations,
    nowMs: 0,
    random: createRandom(1),
  });
  return pick?.upstream === other ? (pick.fetchFrom ?? 'nowhere') : 'the holder itself';
}

// Guards against an engine that continues from what another version of its software has cached.
test('parts of a prompt are copied only from an engine with the same software', (t) => {
  t.is(copySource(createEngine('e1', 'v1'), createEngine('e2', 'v1')), '10.0.0.1:80');
  t.is(copySource(createEngine('e1', 'v1'), createEngine('e2', 'v1.2')), 'nowhere');
});
