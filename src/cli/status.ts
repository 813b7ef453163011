/** `status` and `explain`. */
import { Ok, type Result } from "ts-results-es";
import * as BurnText from "../burn/text.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Context from "./context.ts";
import * as Fleet from "./fleet.ts";

/** What an instance answers to `status`, as far as the tool reads it. */
export interface InstanceStatus {
  readonly id: string;
  readonly domain: string;
  readonly region: string;
  readonly state: string;
  readonly incarnation: string;
  readonly tableRevision: number;
  readonly keysRevision: number;
  /** Undefined or null when the instance never heard from the store. */
  readonly storeSeenMsAgo?: number | null;
  readonly shards: readonly number[];
  readonly members: readonly { readonly isReachable?: boolean }[];
  readonly targets: readonly { readonly state?: string }[];
  readonly budgets: readonly unknown[];
  /** False when keyed requests are refused with code 104. */
  readonly keysCurrent?: boolean;
  /** False when requests are refused with code 130. */
  readonly budgetsValid?: boolean;
}

const HEADINGS = [
  "instance",
  "domain",
  "state",
  "table",
  "keys",
  "store seen",
  "shards",
  "peers",
  "targets",
];

function formatRow(status: InstanceStatus): readonly string[] {
  const peers = status.members.filter((one) => one.isReachable !== false);
  const usable = status.targets.filter((one) =>
    one.state === "usable" || one.state === "cold"
  );
  const seen = status.storeSeenMsAgo;
  return [
    status.id,
    status.domain,
    status.state,
    String(status.tableRevision),
    String(status.keysRevision),
    typeof seen === "number" ? `${(seen / 1000).toFixed(1)} s ago` : "never",
    String(status.shards.length),
    `${peers.length}/${status.members.length}`,
    `${usable.length}/${status.targets.length}`,
  ];
}

function isStatus(value: unknown): value is InstanceStatus {
  const status = value as Partial<InstanceStatus> | undefined;
  return typeof status?.id === "string" &&
    typeof status.domain === "string" &&
    typeof status.tableRevision === "number" &&
    typeof status.keysRevision === "number" &&
    [status.shards, status.members, status.targets].every(Array.isArray);
}

/** Shows every instance; `partial` when one did not answer. */
export async function status(ctx: Context.Context): Context.Outcome {
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) return fleet;
  const answers = await Fleet.callAll<unknown>(ctx, fleet.value, "status", {});
  const good = answers.flatMap(({ result }) =>
    result.isOk() && isStatus(result.value) ? [result.value] : []
  );
  const bad = answers.filter((one) =>
    !Fleet.hasLeft(one) && !(one.result.isOk() && isStatus(one.result.value))
  ).map(({ instance, result }) => ({
    id: instance.id,
    isHeard: instance.isHeard,
    reason: result.isErr()
      ? ResultCodes.formatFailure(result.error)
      : "the answer has another shape: compare versions",
  }));
  print(ctx, good, bad);
  for (const { address, failure } of fleet.value.silent) {
    ctx.out.note(`${address}: ${ResultCodes.formatFailure(failure)}`);
  }
  ctx.out.json({ instances: good, missing: bad });
  return Ok(bad.length === 0 ? Context.EXIT.ok : Context.EXIT.partial);
}

function print(
  ctx: Context.Context,
  good: readonly InstanceStatus[],
  bad: readonly {
    readonly id: string;
    readonly isHeard: boolean;
    readonly reason: string;
  }[],
): void {
  const rows = [HEADINGS, ...good.map(formatRow)];
  BurnText.formatColumns(rows, 3).forEach((row) => ctx.out.line(row));
  for (const { id, keysCurrent, budgetsValid } of good) {
    if (keysCurrent === false) {
      ctx.out.line(`${id}: keys are not current: refuses with E104`);
    }
    if (budgetsValid === false) {
      ctx.out.line(`${id}: may not spend budgets: refuses with E130`);
    }
  }
  for (const { id, isHeard, reason } of bad) {
    const heard = isHeard ? "its peers hear it" : "no asked peer hears it";
    ctx.out.line(`${id}: NO ANSWER (${heard}): ${reason}`);
  }
  for (const field of ["tableRevision", "keysRevision"] as const) {
    const revisions = [...new Set(good.map((one) => one[field]))].sort();
    if (revisions.length < 2) continue;
    ctx.out.line(`${field} differs: ${revisions.join(", ")}`);
  }
}

/** Options of `explain`. */
export interface ExplainOptions {
  readonly service: string;
  readonly account: string;
  readonly from: string;
  readonly instance?: string;
}

/** Shows how an instance would treat a request. */
export async function explain(
  ctx: Context.Context,
  opts: ExplainOptions,
): Context.Outcome {
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) return fleet;
  const candidates = fleet.value.instances.filter((one) =>
    opts.instance === undefined || one.id === opts.instance
  );
  if (candidates.length === 0) {
    const ids = fleet.value.instances.map((one) => one.id).join(", ");
    return ResultCodes.fail("toolUsage", `--instance: known are ${ids}`);
  }
  const params = {
    service: opts.service,
    account: opts.account,
    region: opts.from,
  };
  // An instance answers for callers of its own region. Those that a peer hears
  // answer at once; the others may take a whole timeout.
  const isNear = (one: Fleet.Instance) => one.region === opts.from;
  const sorted = [...candidates].sort((a, b) =>
    Number(b.isHeard) - Number(a.isHeard) ||
    Number(isNear(b)) - Number(isNear(a))
  );
  let last: Result<never, ResultCodes.Failure> | undefined;
  for (const { id, address, region } of sorted) {
    const answer = await ctx.getPeer(address)
      .call<unknown>("explain", params, ctx.settings.timeoutMs);
    if (answer.isErr()) {
      last = answer;
      // An error that the instance itself gives would be the same at the next one.
      if (answer.error.code === ResultCodes.codes.peerError) break;
      continue;
    }
    ctx.out.line(`as seen by instance ${id} in ${region}:`);
    if (region !== opts.from) {
      const why = opts.instance === undefined
        ? `: no instance of ${opts.from} answers`
        : "";
      ctx.out.note(
        `${id} answers for callers of ${region}, not of ${opts.from}${why}`,
      );
    }
    formatTree(answer.value, "  ").forEach((line) => ctx.out.line(line));
    ctx.out.json({ instance: id, region, explanation: answer.value });
    return Ok(Context.EXIT.ok);
  }
  return last!;
}

/** Writes JSON as indented `name: value` lines; the parts of a list start with `-`. */
export function formatTree(value: unknown, indent: string): readonly string[] {
  if (typeof value !== "object" || value === null) {
    return [`${indent}${formatLeaf(value)}`];
  }
  if (Array.isArray(value)) {
    return value.flatMap((child) => {
      const [first = "", ...rest] = formatTree(child, `${indent}  `);
      return [`${indent}- ${first.slice(indent.length + 2)}`, ...rest];
    });
  }
  return Object.entries(value).flatMap(([key, child]) => {
    const isLeaf = typeof child !== "object" || child === null;
    if (isLeaf) return [`${indent}${key}: ${formatLeaf(child)}`];
    if (Object.keys(child).length === 0) return [`${indent}${key}: none`];
    return [`${indent}${key}:`, ...formatTree(child, `${indent}  `)];
  });
}

function formatLeaf(value: unknown): string {
  if (typeof value === "number") return String(Math.round(value * 1e3) / 1e3);
  return value === null || value === undefined ? "none" : String(value);
}
