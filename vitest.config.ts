import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["tests/**/*_test.ts"],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: "forks",
    // The integration tests start whole fleets; two files at a time keeps timing figures meaningful.
    maxWorkers: 3,
    fileParallelism: true,
  },
});
