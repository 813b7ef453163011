/**
 * Numbered result codes. docs/result_codes.md is generated from this table. A
 * number is never reused.
 */
import { Err } from "ts-results-es";

/** One row of the table of result codes. */
export interface CodeInfo {
  readonly number: number;
  readonly name: string;
  /** HTTP status that callers receive; 0 for codes that callers never receive. */
  readonly status: number;
  /** What happened, for operators. */
  readonly meaning: string;
  /** Recommended reaction of the caller or operator. */
  readonly action: string;
}

function createCode(
  number: number,
  name: string,
  status: number,
  meaning: string,
  action: string,
): CodeInfo {
  return { number, name, status, meaning, action };
}

/** All result codes, grouped by hundreds: 1xx callers, 2xx peers, 3xx platform, 4xx table, 5xx settings, 6xx tool. */
export const codes = {
  keyMissing: createCode(
    101,
    "key-missing",
    401,
    "No key came with the request",
    "Send the key in the Anvilroute-Key header",
  ),
  keyUnknown: createCode(
    102,
    "key-unknown",
    401,
    "The key is not known",
    "Check the key; ask the operators for one",
  ),
  keyWithdrawn: createCode(
    103,
    "key-withdrawn",
    401,
    "The key was withdrawn",
    "Ask the operators for a new key",
  ),
  keysNotCurrent: createCode(
    104,
    "keys-not-current",
    503,
    "This instance cannot tell whether keys were withdrawn",
    "Use another instance; operators: check the platform and the network",
  ),
  noSuchService: createCode(
    105,
    "no-such-service",
    404,
    "The table has no such service",
    "Check the service name",
  ),
  badRequest: createCode(
    106,
    "bad-request",
    400,
    "The request is malformed",
    "Correct the request",
  ),
  keyInQuery: createCode(
    107,
    "key-in-query",
    400,
    "The query carries a key",
    "Send the key in the Anvilroute-Key header only",
  ),
  ticketMissing: createCode(
    110,
    "ticket-missing",
    428,
    "The route needs a ticket in Idempotency-Key",
    "Take a ticket from a look-up and send it",
  ),
  ticketInvalid: createCode(
    111,
    "ticket-invalid",
    400,
    "The ticket is malformed, forged, or of another account or service",
    "Take a fresh ticket if this one was never sent",
  ),
  ticketExpired: createCode(
    112,
    "ticket-expired",
    409,
    "The ticket has expired and no record of it is left",
    "Ask the service whether the request ran",
  ),
  issuerUnreachable: createCode(
    113,
    "issuer-unreachable",
    503,
    "The instance that issued the ticket does not answer",
    "Send again later with the same ticket, or ask the service",
  ),
  ticketReused: createCode(
    114,
    "ticket-reused",
    422,
    "The ticket was used before with another request",
    "Take a fresh ticket for each request",
  ),
  ledgerFull: createCode(
    115,
    "ledger-full",
    503,
    "The ledger of tickets is full",
    "Send again later with the same ticket",
  ),
  runUnknown: createCode(
    116,
    "run-unknown",
    504,
    "The request may have run",
    "Ask the service before sending it with a new ticket",
  ),
  accountLimit: createCode(
    120,
    "account-limit",
    429,
    "The client account's rate is used up",
    "Send again after Retry-After",
  ),
  regionCap: createCode(
    121,
    "region-cap",
    503,
    "No region can take the request within its cap",
    "Send again after Retry-After",
  ),
  linkCap: createCode(
    122,
    "link-cap",
    503,
    "The link to the region is used up",
    "Send again after Retry-After",
  ),
  queueFull: createCode(
    123,
    "queue-full",
    503,
    "The request cannot be served before its deadline",
    "Send again after Retry-After",
  ),
  noTarget: createCode(
    124,
    "no-target",
    503,
    "No usable target",
    "Send again later; operators: check the service's targets",
  ),
  poisoned: createCode(
    125,
    "poisoned",
    422,
    "Requests like this one broke two targets",
    "Do not send it again; operators: check the target's logs",
  ),
  shedByTarget: createCode(
    126,
    "shed-by-target",
    503,
    "The targets refused the request without running it",
    "Send again after Retry-After",
  ),
  deadlinePassed: createCode(
    127,
    "deadline-passed",
    504,
    "The deadline passed before an answer came",
    "Ask the service whether the request ran",
  ),
  targetBroke: createCode(
    128,
    "target-broke",
    502,
    "The target's connection broke before its answer was whole",
    "Reads: send again; others: ask the service whether the request ran",
  ),
  leaving: createCode(
    129,
    "leaving",
    503,
    "This instance is stopping",
    "Use another instance",
  ),
  notHolding: createCode(
    130,
    "not-holding",
    503,
    "This instance's right to spend budgets is not confirmed",
    "Use another instance",
  ),
  bodyTooLarge: createCode(
    131,
    "body-too-large",
    413,
    "The body is larger than allowed",
    "Send a smaller body",
  ),
  configUnknown: createCode(
    133,
    "config-unknown",
    503,
    "This instance has not learnt the configuration yet",
    "Use another instance; operators: check the platform",
  ),
  noSuchRoute: createCode(
    134,
    "no-such-route",
    404,
    "The configuration has no route for this host and path",
    "Check host and path",
  ),
  retryBudget: createCode(
    132,
    "retry-budget",
    503,
    "The first target refused and the retry budget is used up",
    "Send again after Retry-After",
  ),
  memoryFull: createCode(
    135,
    "memory-full",
    503,
    "This instance has no memory for the request's body now",
    "Send again after Retry-After",
  ),
  internal: createCode(
    199,
    "internal",
    500,
    "A fault in anvilroute",
    "Report it with the request id",
  ),
  peerUnreachable: createCode(
    201,
    "peer-unreachable",
    0,
    "The peer is not connected",
    "Check the network between the instances",
  ),
  peerTimeout: createCode(
    202,
    "peer-timeout",
    0,
    "The peer did not answer in time",
    "Check the peer's load and the network",
  ),
  peerError: createCode(
    203,
    "peer-error",
    0,
    "The peer answered with an error",
    "See the message",
  ),
  peerAuth: createCode(
    204,
    "peer-auth",
    0,
    "The peer could not prove that it knows the secret",
    "Compare the secrets in the settings",
  ),
  peerMessage: createCode(
    205,
    "peer-message",
    0,
    "The peer sent a malformed or oversized message",
    "Compare versions",
  ),
  storeUnreachable: createCode(
    301,
    "store-unreachable",
    0,
    "The platform's store does not answer",
    "Check the platform",
  ),
  storeConflict: createCode(
    302,
    "store-conflict",
    0,
    "The record changed since it was read",
    "Read it again",
  ),
  leaseLapsed: createCode(
    303,
    "lease-lapsed",
    0,
    "The lease is gone",
    "A new one is taken by itself",
  ),
  valueTooLarge: createCode(
    304,
    "value-too-large",
    0,
    "The value is over 1 MB",
    "Make the table smaller",
  ),
  storeError: createCode(
    305,
    "store-error",
    0,
    "The store refused the call",
    "See the message",
  ),
  storeWriteUnknown: createCode(
    306,
    "store-write-unknown",
    0,
    "The store's answer to a write was lost and reading back did not settle it",
    "Read the record to see whether the write took effect",
  ),
  tableSyntax: createCode(
    401,
    "table-syntax",
    0,
    "The table is not well-formed CSV",
    "Correct the file",
  ),
  tableColumn: createCode(
    402,
    "table-column",
    0,
    "A column is missing, unknown or doubled",
    "Compare with docs/table.md",
  ),
  tableCell: createCode(
    403,
    "table-cell",
    0,
    "A cell's value is not allowed",
    "Correct the cell as the message says",
  ),
  tableRow: createCode(
    404,
    "table-row",
    0,
    "Two rows name the same service and region",
    "Remove one",
  ),
  tableConsistency: createCode(
    405,
    "table-consistency",
    0,
    "Rows that must agree differ",
    "Make them equal",
  ),
  settingsSyntax: createCode(
    501,
    "settings-syntax",
    0,
    "The settings file is not well-formed TOML",
    "Correct the file",
  ),
  settingsValue: createCode(
    502,
    "settings-value",
    0,
    "A setting is missing, unknown or not allowed",
    "Correct the setting as the message says",
  ),
  toolUsage: createCode(
    601,
    "tool-usage",
    0,
    "The command line is wrong",
    "See --help",
  ),
  toolRace: createCode(
    602,
    "tool-race",
    0,
    "Another operator changed the record first",
    "Pull, merge and apply again",
  ),
  toolPartial: createCode(
    603,
    "tool-partial",
    0,
    "Not every instance confirmed",
    "See which ones, and check them",
  ),
  toolFile: createCode(
    604,
    "tool-file",
    0,
    "A file cannot be read or written",
    "Check the path and its permissions",
  ),
  noSuchAccount: createCode(
    605,
    "no-such-account",
    0,
    "The configuration has no client account of this name",
    "Give the account's name, never a key",
  ),
  noSuchInstance: createCode(
    606,
    "no-such-instance",
    0,
    "The peers know no instance of this name",
    "Check the name with the ones listed",
  ),
} as const satisfies Readonly<Record<string, CodeInfo>>;

/** Name of a result code. */
export type CodeName = keyof typeof codes;

/** An expected failure: a result code and details of the case. */
export interface Failure {
  readonly code: CodeInfo;
  readonly detail: string;
}

/** Creates an error result. `detail` must not contain keys, tickets or secrets. */
export function fail(name: CodeName, detail = ""): Err<Failure> {
  return Err({ code: codes[name], detail });
}

/** Formats a failure as one line: `E120 account-limit: The client account's … (detail)`. */
export function formatFailure(err: Failure): string {
  const detail = err.detail === "" ? "" : ` (${err.detail})`;
  return `E${err.code.number} ${err.code.name}: ${err.code.meaning}${detail}`;
}
