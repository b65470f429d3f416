/**
 * Routing decisions: choice of upstream, admission order, concurrency and rate limits, health.
 */
export * from './types.js';
export * from './UpstreamSelector/index.js';
export * from './RoundRobin/index.js';
export * from './LeastReportedLoad/index.js';
export * from './LeastInFlight/index.js';
export * from './TwoChoices/index.js';
export * from './PrefixAffinity/index.js';
export * from './estimateLoad/index.js';
export * from './chooseSubset/index.js';
export * from './UpstreamRegistry/index.js';
export * from './AdmissionQueue/index.js';
export * from './chooseInstances/index.js';
export * from './RetryBudget/index.js';
export * from './ConcurrencyLimit/index.js';
export * from './AimdLimit/index.js';
export * from './EvenShareLimit/index.js';
export * from './UpstreamHealth/index.js';
export * from './InFlightRequest/index.js';
export * from './OutlierDetector/index.js';
export * from './RetryShare/index.js';
export * from './divideRate/index.js';
export * from './RateShare/index.js';
export * from './rankByKey/index.js';
export * from './HashRing/index.js';
export * from './chooseWarmUpHolders/index.js';
export * from './WarmUp/index.js';
export * from './PrefillTimeModel/index.js';
export * from './PeerBacklogEstimator/index.js';
export * from './placePrompt/index.js';
export * from './estimateSlotWait/index.js';
export * from './RunTimeEstimator/index.js';
export * from './LoadAverage/index.js';
export * from './OverloadBackoff/index.js';
export * from './checkAvailability/index.js';
export * from './SuspectRequests/index.js';
