/**
 * Stories: short scripted user scenarios. Each runs once without faults to count its steps, then once
 * with every fault at every step.
 */
import type { StoryContext } from '../StoryContext/index.js';
import { modelRequest } from './modelRequest/index.js';
import { serviceRead } from './serviceRead/index.js';
import { serviceWrite } from './serviceWrite/index.js';
import { retryElsewhere } from './retryElsewhere/index.js';
import { nearlyEmptyBudget } from './nearlyEmptyBudget/index.js';
import { topUp } from './topUp/index.js';
import { promotion } from './promotion/index.js';
import { plannedStop } from './plannedStop/index.js';
import { engineStartsAgain } from './engineStartsAgain/index.js';
import { engineOrder } from './engineOrder/index.js';
import { deadlyMessage } from './deadlyMessage/index.js';
import { engineLeaving } from './engineLeaving/index.js';

/** One scripted user scenario. */
export interface Story {
  readonly name: string;
  /** Number of instances; 2 by default. */
  readonly instances?: number;
  /** Performs the actions; must terminate under every fault. */
  readonly run: (context: StoryContext) => Promise<void>;
}

/** All stories. */
export const stories: readonly Story[] = [
  { name: 'modelRequest', run: modelRequest },
  { name: 'serviceRead', run: serviceRead },
  { name: 'serviceWrite', run: serviceWrite },
  { name: 'retryElsewhere', run: retryElsewhere },
  { name: 'nearlyEmptyBudget', run: nearlyEmptyBudget },
  { name: 'topUp', run: topUp },
  { name: 'promotion', run: promotion },
  { name: 'plannedStop', run: plannedStop },
  { name: 'engineLeaving', run: engineLeaving },
  { name: 'engineStartsAgain', run: engineStartsAgain },
  { name: 'deadlyMessage', run: deadlyMessage },
  { name: 'engineOrder', run: engineOrder, instances: 0 },
];

/**
 * Returns a story by its name.
 *
 * @throws Error if there is no story of that name
 *
 * @example
 * storyNamed('topUp').name;
 * //=> 'topUp'
 */
export function storyNamed(name: string): Story {
  const story = stories.find((candidate) => candidate.name === name);
  if (story !== undefined) return story;
  throw new Error(
    `unknown story ${name}; known stories: ${stories.map((candidate) => candidate.name).join(', ')}`,
  );
}
