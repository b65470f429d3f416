import test from 'ava';
import { comparedPolicies } from './_lib/policies/index.js';
import { runCell, type CellCase } from './_lib/runCell/index.js';

async function runDefault(cellCase: CellCase, loadFactor: number) {
  const policy = comparedPolicies.find(({ isDefault }) => isDefault);
  if (policy === undefined) throw new Error('no policy is marked as the default');
  return runCell({ policy, case: cellCase, loadFactor, seed: 1, durationMs: 6_000 });
}

// The offered load is 1.3 times the capacity, and in one case one of five instances is lost with
// open streams. All reviews must finish and shift prompts must meet their first-token deadline;
// only the class with the lowest priority, tagging, may be refused more often.
for (const cellCase of ['calm', 'instanceLost'] as const) {
  test(`at 1.3 times capacity no review is lost or refused and shift prompts meet their deadline: ${cellCase}`, async (t) => {
    const [review, shift, tagging] = await runDefault(cellCase, 1.3);
    t.like(review, { class: 'review', refused: 0, lost: 0 });
    t.true(Number(review?.['answered']) > 0);
    t.true(Number(shift?.['firstTokenP95Ms']) <= Number(shift?.['firstTokenDeadlineMs']));
    t.is(shift?.['lost'], 0);
    t.true(Number(tagging?.['refused']) >= Number(shift?.['refused']));
  });
}
