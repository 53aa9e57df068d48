// The tests of clients that do not behave: one at a time, apart from all others.
export default {
  files: ["dist/tests/clients/*_test.js"],
  timeout: "3m",
  concurrency: 1,
  workerThreads: false,
};
