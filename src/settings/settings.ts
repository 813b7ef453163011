/** Parses and checks the TOML settings of `anvilrouted`. */
import * as Toml from "smol-toml";
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Reader from "./reader.ts";

/** Checked settings of an entry instance. */
export interface Settings {
  readonly instance: {
    readonly id: Types.InstanceId;
    readonly domain: Types.Domain;
    readonly region: Types.Region;
  };
  readonly listen: {
    /** Serves callers: lookups and forwarded requests. */
    readonly caller: Types.Address;
    /** Serves operators' probes: /healthz and /metrics. */
    readonly probe: Types.Address;
    /** Serves peers and the operators' tool. */
    readonly peer: Types.Address;
  };
  /** Addresses that callers and peers connect to; default: the addresses of `listen`. */
  readonly advertise: {
    readonly caller: Types.Address;
    readonly peer: Types.Address;
  };
  readonly outbound: {
    /** Source IP of connections to peers and targets; when undefined, the operating system chooses it. */
    readonly address: string | undefined;
  };
  readonly platform: {
    readonly address: Types.Address;
    readonly timeoutMs: number;
  };
  readonly peers: {
    readonly seeds: readonly Types.Address[];
    readonly secret: string;
  };
  readonly lease: {
    readonly ttlMs: number;
    readonly renewMs: number;
    /**
     * Whether the instance suspends or keeps its allocation while the store is
     * unreachable and a peer of its domain is unresponsive. That peer may still
     * reach the store.
     */
    readonly onSilentPeer: "suspend" | "keep";
  };
  readonly keys: {
    readonly stalenessLimitMs: number;
    readonly whenIsolated: "refuse" | "serve";
  };
  readonly lookup: { readonly maxAgeMs: number };
  readonly limits: {
    readonly maxBodyBytes: number;
    readonly bufferBytes: number;
    /** Memory for what is buffered of all request bodies. */
    readonly bodiesBytes: number;
    readonly ledgerEntries: number;
    readonly ledgerBytes: number;
    /** Connections of callers and probes together. */
    readonly maxConnections: number;
  };
  readonly log: { readonly level: "debug" | "info" | "warn" | "error" };
}

const MIN_SECRET_CHARS = 16;

/** Parses and checks settings; a failure lists every invalid setting, one per line. */
export function parseSettings(
  toml: string,
): Result<Settings, ResultCodes.Failure> {
  let raw: Toml.TomlTable;
  try {
    raw = Toml.parse(toml);
  } catch (err) {
    return ResultCodes.fail("settingsSyntax", String(err));
  }
  const reader = Reader.createReader(raw);
  const settings = readSettings(reader);
  const errors = reader.finish();
  if (errors.length > 0) {
    return ResultCodes.fail("settingsValue", errors.join("\n"));
  }
  return Ok(settings);
}

function readSettings(r: Reader.Reader): Settings {
  const listen = {
    caller: r.address("listen.caller"),
    probe: r.address("listen.probe"),
    peer: r.address("listen.peer"),
  };
  const lease = {
    ttlMs: r.integer("lease.ttl_ms", 2_000, 120_000, 10_000),
    renewMs: r.integer("lease.renew_ms", 200, 60_000, 3_000),
    onSilentPeer: r.choice(
      "lease.on_silent_peer",
      ["suspend", "keep"],
      "suspend",
    ),
  };
  r.require(
    "lease.renew_ms",
    lease.renewMs,
    lease.renewMs * 2 < lease.ttlMs,
    "less than half of lease.ttl_ms",
  );
  const bufferBytes = r.integer(
    "limits.buffer_bytes",
    1_024,
    16 * 1024 * 1024,
    256 * 1024,
  );
  const bodiesBytes = r.integer(
    "limits.bodies_bytes",
    1024 * 1024,
    1e9,
    48 * 1024 * 1024,
  );
  r.require(
    "limits.bodies_bytes",
    bodiesBytes,
    bodiesBytes >= bufferBytes * 4,
    "four times limits.buffer_bytes or more",
  );
  return {
    instance: {
      id: r.name("instance.id"),
      domain: r.name("instance.domain"),
      region: r.name("instance.region"),
    },
    listen,
    advertise: {
      caller: r.address("advertise.caller", listen.caller),
      peer: r.address("advertise.peer", listen.peer),
    },
    outbound: { address: r.optionalIp("outbound.address") },
    platform: {
      address: r.address("platform.address"),
      timeoutMs: r.integer("platform.timeout_ms", 50, 30_000, 1_000),
    },
    peers: {
      seeds: r.addresses("peers.seeds"),
      secret: r.string("peers.secret", MIN_SECRET_CHARS),
    },
    lease,
    keys: {
      stalenessLimitMs: r.integer(
        "keys.staleness_limit_ms",
        500,
        // An increased allocation applies 500 ms after this limit; the sum must stay within the 6 s of guarantee 12 (docs/design.md).
        5_000,
        4_000,
      ),
      whenIsolated: r.choice(
        "keys.when_isolated",
        ["refuse", "serve"],
        "refuse",
      ),
    },
    lookup: { maxAgeMs: r.integer("lookup.max_age_ms", 100, 60_000, 5_000) },
    limits: {
      maxBodyBytes: r.integer(
        "limits.max_body_bytes",
        1,
        1e9,
        16 * 1024 * 1024,
      ),
      bufferBytes,
      bodiesBytes,
      ledgerEntries: r.integer("limits.ledger_entries", 100, 1e7, 50_000),
      ledgerBytes: r.integer(
        "limits.ledger_bytes",
        65_536,
        1e9,
        16 * 1024 * 1024,
      ),
      maxConnections: r.integer("limits.max_connections", 100, 1e6, 20_000),
    },
    log: {
      level: r.choice("log.level", ["debug", "info", "warn", "error"], "info"),
    },
  };
}
