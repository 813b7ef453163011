/** Resources that the tests of a file start, released after each test. */
import { afterEach } from "vitest";

/**
 * Returns a function that adds a release, which runs after the current test;
 * the last one added runs first. Call this at the top of a test file, because it
 * registers a hook with vitest.
 */
export function createCleanups(): (release: () => unknown) => void {
  const releases: (() => unknown)[] = [];
  afterEach(async () => {
    for (const release of releases.splice(0).reverse()) await release();
  });
  return (release) => void releases.push(release);
}
