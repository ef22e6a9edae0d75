export default {
  files: ['out/tests/**/*.spec.js'],
  timeout: '120s',
  concurrency: 4,
  workerThreads: false,
};
