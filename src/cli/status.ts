/** Implements `status` and `explain`. */
import { Ok, type Result } from "ts-results-es";
import * as BurnText from "../burn/text.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Context from "./context.ts";
import * as Fleet from "./fleet.ts";

/** Fields of the `status` response that the tool reads. */
export interface InstanceStatus {
  readonly id: string;
  readonly domain: string;
  readonly region: string;
  readonly state: string;
  readonly incarnation: string;
  readonly tableRevision: number;
  readonly keysRevision: number;
  /** Milliseconds since the store's last response; undefined or null when there was none. */
  readonly storeSeenMsAgo?: number | null;
  readonly shards: readonly number[];
  readonly members: readonly { readonly isReachable?: boolean }[];
  readonly targets: readonly { readonly state?: string }[];
  readonly budgets: readonly unknown[];
  /** False while the instance rejects keyed requests with code 104. */
  readonly keysCurrent?: boolean;
  /** False while the instance rejects requests with code 130. */
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
  const peers = status.members.filter((member) => member.isReachable !== false);
  const usable = status.targets.filter((target) =>
    target.state === "usable" || target.state === "cold"
  );
  const storeSeenMsAgo = status.storeSeenMsAgo;
  return [
    status.id,
    status.domain,
    status.state,
    String(status.tableRevision),
    String(status.keysRevision),
    typeof storeSeenMsAgo === "number"
      ? `${(storeSeenMsAgo / 1000).toFixed(1)} s ago`
      : "never",
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

/** Prints the status of every instance; returns `partial` when one did not respond. */
export async function status(ctx: Context.Context): Context.CommandResult {
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) return fleet;
  const responses = await Fleet.callAll<unknown>(
    ctx,
    fleet.value,
    "status",
    {},
  );
  const statuses = responses.flatMap(({ result }) =>
    result.isOk() && isStatus(result.value) ? [result.value] : []
  );
  const missing = responses.filter((response) =>
    !Fleet.hasShutDown(response) &&
    !(response.result.isOk() && isStatus(response.result.value))
  ).map(({ instance, result }) => ({
    id: instance.id,
    isHeard: instance.isReachable,
    reason: result.isErr()
      ? ResultCodes.formatFailure(result.error)
      : "the answer has another shape: compare versions",
  }));
  printStatus(ctx, statuses, missing);
  for (const { address, failure } of fleet.value.unresponsive) {
    ctx.out.notice(`${address}: ${ResultCodes.formatFailure(failure)}`);
  }
  ctx.out.json({ instances: statuses, missing });
  return Ok(missing.length === 0 ? Context.EXIT.ok : Context.EXIT.partial);
}

function printStatus(
  ctx: Context.Context,
  statuses: readonly InstanceStatus[],
  missing: readonly {
    readonly id: string;
    readonly isHeard: boolean;
    readonly reason: string;
  }[],
): void {
  const rows = [HEADINGS, ...statuses.map(formatRow)];
  BurnText.formatColumns(rows, 3).forEach((row) => ctx.out.line(row));
  for (const { id, keysCurrent, budgetsValid } of statuses) {
    if (keysCurrent === false) {
      ctx.out.line(`${id}: keys are not current: refuses with E104`);
    }
    if (budgetsValid === false) {
      ctx.out.line(`${id}: may not spend budgets: refuses with E130`);
    }
  }
  for (const { id, isHeard, reason } of missing) {
    const reachability = isHeard
      ? "its peers hear it"
      : "no asked peer hears it";
    ctx.out.line(`${id}: NO ANSWER (${reachability}): ${reason}`);
  }
  for (const field of ["tableRevision", "keysRevision"] as const) {
    const revisions = [...new Set(statuses.map((status) => status[field]))]
      .sort();
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

/** Prints how an instance would handle a request. */
export async function explain(
  ctx: Context.Context,
  opts: ExplainOptions,
): Context.CommandResult {
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) return fleet;
  const candidates = fleet.value.instances.filter((instance) =>
    opts.instance === undefined || instance.id === opts.instance
  );
  if (candidates.length === 0) {
    const ids = fleet.value.instances.map((instance) => instance.id).join(", ");
    return ResultCodes.fail("toolUsage", `--instance: known are ${ids}`);
  }
  const params = {
    service: opts.service,
    account: opts.account,
    region: opts.from,
  };
  // Reachable instances come first, as an unreachable one may take a whole
  // timeout. Among them, those in the caller's region come first, because an
  // instance explains how it treats callers of its own region.
  const isLocal = (instance: Fleet.Instance) => instance.region === opts.from;
  const sortedCandidates = [...candidates].sort((a, b) =>
    Number(b.isReachable) - Number(a.isReachable) ||
    Number(isLocal(b)) - Number(isLocal(a))
  );
  let lastFailure: Result<never, ResultCodes.Failure> | undefined;
  for (const { id, address, region } of sortedCandidates) {
    const response = await ctx.getPeer(address)
      .call<unknown>("explain", params, ctx.settings.timeoutMs);
    if (response.isErr()) {
      lastFailure = response;
      // The instance rejected the query; the next instance would reject it too.
      if (response.error.code === ResultCodes.codes.peerError) break;
      continue;
    }
    ctx.out.line(`as seen by instance ${id} in ${region}:`);
    if (region !== opts.from) {
      const reason = opts.instance === undefined
        ? `: no instance of ${opts.from} answers`
        : "";
      ctx.out.notice(
        `${id} answers for callers of ${region}, not of ${opts.from}${reason}`,
      );
    }
    formatTree(response.value, "  ").forEach((line) => ctx.out.line(line));
    ctx.out.json({ instance: id, region, explanation: response.value });
    return Ok(Context.EXIT.ok);
  }
  return lastFailure!;
}

/** Formats JSON as indented `name: value` lines; list items start with `-`. */
export function formatTree(value: unknown, indent: string): readonly string[] {
  if (typeof value !== "object" || value === null) {
    return [`${indent}${formatLeaf(value)}`];
  }
  if (Array.isArray(value)) {
    return value.flatMap((child) => {
      const [firstLine = "", ...otherLines] = formatTree(child, `${indent}  `);
      return [
        `${indent}- ${firstLine.slice(indent.length + 2)}`,
        ...otherLines,
      ];
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
