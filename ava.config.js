/** Tests that measure the memory of a process, and run one at a time after the others. */
export const apart = 'packages/soak/dist/failures/floods/**/test.js';

export default {
  files: ['packages/*/dist/**/test.js', 'platform/dist/**/test.js', `!${apart}`],
  workerThreads: true,
  timeout: '120s',
};
