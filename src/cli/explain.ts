/** Implements `explain`: by service at the daemon, by host and path at the gateway. */
import * as ResultCodes from "../result_codes.ts";
import type * as Context from "./context.ts";
import * as ExplainRequest from "./explain_request.ts";
import * as Status from "./status.ts";

/** Options of `explain`, as parsed by commander. */
export interface ExplainOptions
  extends
    Partial<ExplainRequest.RequestOptions>,
    Partial<Status.ExplainOptions> {}

/** Options that only a request to the gateway has. */
const REQUEST_OPTIONS = ["path", "method", "keyObject", "all"] as const;

/** Explains a request to the gateway if there is a host, else one to the daemon. */
export function explain(
  ctx: Context.Context,
  opts: ExplainOptions,
): Context.CommandResult {
  const { account, from, host, instance, service } = opts;
  if (host !== undefined) {
    if (service === undefined && instance === undefined) {
      return ExplainRequest.explain(ctx, { ...opts, host });
    }
    return fail(
      "--host goes with --from INSTANCE or --all, not with --service or --instance",
    );
  }
  const misplaced = REQUEST_OPTIONS.some((name) => opts[name] !== undefined);
  if (
    misplaced || service === undefined || account === undefined ||
    from === undefined
  ) {
    return fail(
      "either --host and --path, or --service, --account and --from REGION",
    );
  }
  return Status.explain(ctx, { ...opts, service, account, from });
}

function fail(detail: string): Context.CommandResult {
  return Promise.resolve(ResultCodes.fail("toolUsage", detail));
}
