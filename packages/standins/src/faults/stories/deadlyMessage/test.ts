import { testStory } from '../../_lib/testStory/index.js';

testStory('deadlyMessage');
