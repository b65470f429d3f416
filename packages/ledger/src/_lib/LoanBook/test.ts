import test from 'ava';
import { LoanBook } from './index.js';

test('lent tokens are deducted at the lender and received once by the borrower', (t) => {
  const lender = new LoanBook();
  const borrower = new LoanBook();
  lender.lend('b', 30);
  lender.lend('b', 10);
  t.is(borrower.receive('a', lender.totalLentTo('b')), 40);
  t.is(borrower.receive('a', lender.totalLentTo('b')), 0);
  t.is(lender.balanceTokens, -40);
  t.is(borrower.balanceTokens, 40);
});

// Two responses arrive out of order: the total of the second loan before that of the first.
test('a total lower than the known one changes nothing', (t) => {
  const borrower = new LoanBook();
  t.is(borrower.receive('a', 40), 40);
  t.is(borrower.receive('a', 30), 0);
  t.is(borrower.balanceTokens, 40);
});

test('process runs of the same instance are counted separately', (t) => {
  const borrower = new LoanBook();
  t.is(borrower.receive('a~1', 40), 40);
  t.is(borrower.receive('a~2', 15), 15);
  t.is(borrower.balanceTokens, 55);
});
