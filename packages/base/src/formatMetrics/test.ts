import test from 'ava';
import { Metrics } from '../Metrics/index.js';
import { formatMetrics } from './index.js';

test('metrics have types, base units and labels, counters first', (t) => {
  const metrics = new Metrics({ maxSeries: 1 });
  metrics.record('firstTokenMs', 'one/shift', 100);
  metrics.count('requests', 'one/shift', 2);
  metrics.count('requests', 'two/shift');
  metrics.count('linksSilent');
  const gauges = [{ name: 'members', labels: { state: 'live' }, value: 4 }];
  t.deepEqual(formatMetrics(metrics, gauges).split('\n'), [
    '# TYPE acaciacrank_links_silent_total counter',
    'acaciacrank_links_silent_total 1',
    '# TYPE acaciacrank_requests_total counter',
    'acaciacrank_requests_total{series="(overflow)"} 1',
    'acaciacrank_requests_total{account="one",class="shift"} 2',
    '# TYPE acaciacrank_members gauge',
    'acaciacrank_members{state="live"} 4',
    '# TYPE acaciacrank_first_token_seconds summary',
    'acaciacrank_first_token_seconds{account="one",class="shift",quantile="0.5"} 0.1',
    'acaciacrank_first_token_seconds{account="one",class="shift",quantile="0.95"} 0.1',
    'acaciacrank_first_token_seconds{account="one",class="shift",quantile="0.99"} 0.1',
    'acaciacrank_first_token_seconds_sum{account="one",class="shift"} 0.1',
    'acaciacrank_first_token_seconds_count{account="one",class="shift"} 1',
    '',
  ]);
});

// An unescaped quote in a label value makes the whole page unreadable for the scraper. All metrics of
// the instance are then missing, as if the instance were down.
test('label values are escaped', (t) => {
  const metrics = new Metrics();
  metrics.count('refused', 'a"b\\c\nd');
  t.regex(formatMetrics(metrics, []), /\{series="a\\"b\\\\c\\nd"\} 1\n$/);
});
