/** Implements `explain --host`: shows where a request would go from instances of the gateway, and why. */
import { Err, Ok, type Result } from "ts-results-es";
import type * as ExplainTypes from "../gateway/explain_types.ts";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Context from "./context.ts";
import * as ExplainDifferences from "./explain_differences.ts";
import * as ExplainText from "./explain_text.ts";
import * as Fleet from "./fleet.ts";

const METHOD = "gateway.explain";
/** Ids listed in an error, so that it stays readable. */
const MAX_LISTED = 12;

/** Options of `explain` for a request to the gateway. */
export interface RequestOptions {
  readonly host: string;
  readonly path?: string;
  readonly method?: string;
  readonly account?: string;
  readonly keyObject?: string;
  /** Instance to ask; any one that answers if undefined. */
  readonly from?: string;
  readonly all?: boolean;
}

type Answered = Result<ExplainTypes.Explanation, ResultCodes.Failure>;

/** Asks one instance, or all with `--all`, and prints their explanations. */
export async function explain(
  ctx: Context.Context,
  opts: RequestOptions,
): Context.CommandResult {
  const { from, path } = opts;
  if (path === undefined || !path.startsWith("/")) {
    return ResultCodes.fail("toolUsage", "--path must begin with a slash");
  }
  if (from !== undefined && opts.all === true) {
    return ResultCodes.fail("toolUsage", "either --from or --all");
  }
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) return fleet;
  const { instances } = fleet.value;
  const query = {
    host: opts.host,
    path,
    method: opts.method ?? "GET",
    account: opts.account,
    keyObject: opts.keyObject,
  };
  if (opts.all === true) return explainAll(ctx, fleet.value, query);
  const candidates = instances
    .filter(({ id }) => from === undefined || id === from)
    .toSorted((a, b) => Number(b.isReachable) - Number(a.isReachable));
  if (candidates.length === 0) {
    const ids = instances.slice(0, MAX_LISTED).map(({ id }) => id).join(", ");
    return ResultCodes.fail("noSuchInstance", `known: ${ids}`);
  }
  return await explainOne(ctx, candidates, query);
}

/** Prints the explanation of the first instance that answers. */
async function explainOne(
  ctx: Context.Context,
  candidates: readonly Fleet.Instance[],
  query: ExplainTypes.Query,
): Context.CommandResult {
  let failure: Err<ResultCodes.Failure> | undefined;
  for (const { address, id } of candidates) {
    const response = await ctx.getPeer(address)
      .call<unknown>(METHOD, query, ctx.settings.timeoutMs);
    const answer = readAnswer(response);
    if (answer.isOk()) {
      printExplanation(ctx, answer.value);
      ctx.out.json({ instance: id, explanation: answer.value });
      return Ok(Context.EXIT.ok);
    }
    failure = answer;
    // The instance has answered; the next one would give the same answer.
    if (response.isOk()) break;
  }
  return failure!;
}

/** Prints what all instances agree on, where they differ, and which ones did not answer. */
async function explainAll(
  ctx: Context.Context,
  fleet: Fleet.Fleet,
  query: ExplainTypes.Query,
): Context.CommandResult {
  const responses = await Fleet.callAll<unknown>(ctx, fleet, METHOD, query);
  const answers = responses
    .filter((response) => !Fleet.hasShutDown(response))
    .map(({ instance, result }) => ({
      id: instance.id,
      answer: readAnswer(result),
    }));
  const explanations = answers.flatMap(({ answer }) =>
    answer.isOk() ? [answer.value] : []
  );
  const failures = answers.flatMap(({ id, answer }) =>
    answer.isErr() ? [{ id, failure: answer.error }] : []
  );
  const [firstFailure] = failures;
  const [first] = explanations;
  if (first === undefined) {
    const failure = firstFailure?.failure;
    return failure === undefined
      ? ResultCodes.fail("peerUnreachable", "no instance answers")
      : Err(failure);
  }
  const differences = ExplainDifferences.getDifferences(explanations);
  printExplanation(ctx, first);
  const count =
    `${explanations.length} of ${answers.length} instances answered`;
  ctx.out.line(
    differences.length === 0 ? `${count} and agree` : `${count} and differ:`,
  );
  for (const { what, values } of differences) {
    ctx.out.line(`  ${what}:`);
    for (const { instances, value } of values) {
      ctx.out.line(`    ${value}: ${instances.join(", ")}`);
    }
  }
  for (const { failure, id } of failures) {
    ctx.out.line(
      `${id}: NO EXPLANATION: ${ResultCodes.formatFailure(failure)}`,
    );
  }
  ctx.out.json({
    explanations,
    differences,
    missing: failures.map(({ id, failure }) => ({
      id,
      reason: ResultCodes.formatFailure(failure),
    })),
  });
  return Ok(failures.length === 0 ? Context.EXIT.ok : Context.EXIT.partial);
}

function printExplanation(
  ctx: Context.Context,
  explanation: ExplainTypes.Explanation,
): void {
  ExplainText.formatExplanation(explanation)
    .forEach((line) => ctx.out.line(line));
}

/** Reads an answer; an error that it names becomes a failure with its number. */
function readAnswer(
  response: Result<unknown, ResultCodes.Failure>,
): Answered {
  if (response.isErr()) return response;
  const answer = response.value as Partial<ExplainTypes.Answer> | undefined;
  if (answer?.kind === "error") {
    const { code, detail } = answer;
    if (code !== undefined && Object.hasOwn(ResultCodes.codes, code)) {
      return ResultCodes.fail(code, String(detail ?? ""));
    }
  }
  if (answer?.kind === "explanation" && isExplanation(answer)) {
    return Ok(answer);
  }
  const detail = "the answer has another shape: compare versions";
  return ResultCodes.fail("peerMessage", detail);
}

/** Checks the parts without which an explanation can't be printed. */
function isExplanation(
  answer: Partial<ExplainTypes.Explanation>,
): answer is ExplainTypes.Explanation {
  const { admission, homeRegions, route, services } = answer;
  return typeof admission?.kind === "string" &&
    typeof route?.name === "string" &&
    (homeRegions === "all" || Array.isArray(homeRegions)) &&
    Array.isArray(services) &&
    services.every((service: unknown) =>
      Json.isObject(service) && Json.isObject(service["profile"]) &&
      Json.isObject(service["decision"]) &&
      Array.isArray(service["candidates"]) &&
      service["candidates"].every(Json.isObject)
    );
}
