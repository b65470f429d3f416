/**
 * The traffic of the demonstration: a scaled-down mix of the requests of both deployments.
 */
import type { TrafficKind } from '../runLoad/index.js';

const wellingtonAccount = { accountKey: 'demo-key-wellington', budgetId: 'wellington-2026' };
const envigadoAccount = { accountKey: 'demo-key-envigado', budgetId: 'envigado-2026' };

/** Kāpiti (account of Wellington): reviews, shift prompts, records. Refugios (Envigado): plans, tagging, bookings. */
export const demoTraffic: readonly TrafficKind[] = [
  {
    ...wellingtonAccount,
    className: 'review',
    requestsPerSecond: 0.5,
    target: { kind: 'chat', model: 'tutor-large', promptBytes: 3_000, maxTokens: 150 },
  },
  {
    ...wellingtonAccount,
    className: 'shift',
    requestsPerSecond: 6,
    target: { kind: 'chat', model: 'tutor-large', promptBytes: 400, maxTokens: 40 },
  },
  {
    ...wellingtonAccount,
    className: 'records',
    requestsPerSecond: 3,
    target: { kind: 'service', service: 'trainee-records', method: 'POST', path: '/certificates' },
  },
  {
    ...envigadoAccount,
    className: 'review',
    requestsPerSecond: 0.5,
    target: { kind: 'chat', model: 'asistente', promptBytes: 2_000, maxTokens: 150 },
  },
  {
    ...envigadoAccount,
    className: 'tagging',
    requestsPerSecond: 4,
    target: { kind: 'chat', model: 'asistente', promptBytes: 200, maxTokens: 20 },
  },
  {
    ...envigadoAccount,
    className: 'records',
    requestsPerSecond: 3,
    target: { kind: 'service', service: 'reservas-app', method: 'GET', path: '/shelters?free=1' },
  },
];
