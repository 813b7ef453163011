/** Resources that the tests of a file start, released after each test. */
import { afterEach } from "vitest";

/**
 * Registers the release with vitest; call it at the top of a test file. Gives
 * a function that adds one release; they run after the test, last added first.
 */
export function createCleanups(): (release: () => unknown) => void {
  const releases: (() => unknown)[] = [];
  afterEach(async () => {
    for (const release of releases.splice(0).reverse()) await release();
  });
  return (release) => void releases.push(release);
}
