import { describe, expect, it } from "vitest";
import * as TargetStatements from "../../src/gateway/target_statements.ts";
import * as Log from "../../src/log.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("statements of targets about themselves", () => {
  const target = { id: "i-1", startedAtMs: 1 };

  function create() {
    const clock = ManualTime.createTime();
    const log = Log.createLogger("error", {}, () => {});
    const statements = TargetStatements.createTargetStatements(clock, log);
    return {
      clock,
      statements,
      record: (isLeaving: boolean, refusalMs?: number) =>
        statements.recordResponse(target, { isLeaving, refusalMs }),
    };
  }

  it("hold for the stated time and little longer", async () => {
    const { clock, record, statements } = create();
    record(false, 2_000);
    await clock.advance(1_999);
    expect(statements.tryGet(target)?.kind).toBe("wants-nothing");
    await clock.advance(202);
    expect(statements.tryGet(target)).toBeUndefined();
  });

  // Guards against a target that is lost for good by one response.
  it("of an absurd length are bounded, and a shorter one doesn't end a longer one", async () => {
    const { clock, record, statements } = create();
    record(false, 1e12);
    record(false, 10);
    await clock.advance(59_000);
    expect(statements.tryGet(target)?.kind).toBe("wants-nothing");
    await clock.advance(2_000);
    expect(statements.tryGet(target)).toBeUndefined();
  });

  it("that it leaves hold until another process has its id", async () => {
    const { clock, record, statements } = create();
    record(true);
    record(false, 100);
    await clock.advance(600_000);
    expect(statements.tryGet(target)).toEqual({ kind: "leaving" });
    expect(statements.tryGet({ ...target, startedAtMs: 2 })).toBeUndefined();
  });
});
