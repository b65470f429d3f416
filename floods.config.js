import common, { apart } from './ava.config.js';

export default { ...common, files: [apart], concurrency: 1 };
