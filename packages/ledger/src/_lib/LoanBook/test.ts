import test from 'ava';
import { LoanBook } from './index.js';

test('what is lent is missing here, and what is taken is there once', (t) => {
  const lender = new LoanBook();
  const borrower = new LoanBook();
  lender.lend('b', 30);
  lender.lend('b', 10);
  t.is(borrower.take('a', lender.lentTo('b')), 40);
  t.is(borrower.take('a', lender.lentTo('b')), 0);
  t.is(lender.balanceTokens, -40);
  t.is(borrower.balanceTokens, 40);
});

// Two answers overtake each other on the way: the second loan is heard of before the first.
test('an older total than the known one changes nothing', (t) => {
  const borrower = new LoanBook();
  t.is(borrower.take('a', 40), 40);
  t.is(borrower.take('a', 30), 0);
  t.is(borrower.balanceTokens, 40);
});

test('lifetimes of the same instance are counted apart', (t) => {
  const borrower = new LoanBook();
  t.is(borrower.take('a~1', 40), 40);
  t.is(borrower.take('a~2', 15), 15);
  t.is(borrower.balanceTokens, 55);
});
