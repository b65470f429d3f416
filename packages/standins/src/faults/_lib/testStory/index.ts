/**
 * The tests that every story has.
 */
import test from 'ava';
import { mutations } from '../../mutations/index.js';
import { detectsMutation, runMatrix } from '../../runMatrix/index.js';
import { storyNamed } from '../../stories/index.js';

/** Approximate number of steps at which each fault is injected; `npm run faults` covers all steps. */
const maxTestedSteps = 10;

/**
 * Declares the tests of one story: all invariants hold under every fault, and the checks detect every
 * mutation that is assigned to the story.
 */
export function testStory(name: string): void {
  const story = storyNamed(name);

  // Guards against violations under a fault at any step: billing twice or beyond the budget, a response
  // that belongs to another request, and a request that ran although its error says "not run".
  test(`${name} violates no invariant under any fault at evenly spaced steps`, async (t) => {
    const cells = await runMatrix({ stories: [story], maxSteps: maxTestedSteps });
    const failing = cells.filter(({ violations }) => violations > 0);
    const failures = failing.map(
      ({ command, firstViolation }) => `${firstViolation} <- ${command}`,
    );
    t.deepEqual(failures, []);
    t.true(cells.every(({ runs }) => runs > 0));
  });

  for (const mutation of mutations.filter((candidate) => candidate.story === name)) {
    test(`the check of ${mutation.invariant} detects the mutation: ${mutation.what}`, async (t) => {
      t.true(await detectsMutation(story, mutation));
    });
  }
}
