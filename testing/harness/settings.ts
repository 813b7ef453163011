/** Settings files of `anvilrouted` for tests, the demo and benches. */
import * as Toml from "smol-toml";
import * as Settings from "../../src/settings/settings.ts";
import type * as Types from "../../src/types.ts";
import * as Temp from "./temp.ts";

/** Secret of the peers in test fleets. */
export const TEST_SECRET = "secret-of-the-test-fleet";

/** Settings to write; what is left out has the daemon's default. */
export interface SettingsOptions {
  readonly id: Types.InstanceId;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  readonly platform: Types.Address;
  readonly platformTimeoutMs?: number;
  readonly seeds?: readonly Types.Address[];
  readonly secret?: string;
  readonly listen?: Partial<Settings.Settings["listen"]>;
  readonly advertise?: Partial<Settings.Settings["advertise"]>;
  readonly leaseTtlMs?: number;
  readonly leaseRenewMs?: number;
  readonly keysStalenessLimitMs?: number;
  readonly keysWhenIsolated?: Settings.Settings["keys"]["whenIsolated"];
  readonly lookupMaxAgeMs?: number;
  readonly limits?: Partial<Settings.Settings["limits"]>;
  readonly logLevel?: Settings.Settings["log"]["level"];
  /** Further tables, by TOML names; they replace those above. */
  readonly extra?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
}

const ANY_PORT = "127.0.0.1:0";

type Section = Readonly<Record<string, unknown>>;

function withoutUndefined(section: Section): Section {
  const pairs = Object.entries(section);
  return Object.fromEntries(pairs.filter(([, value]) => value !== undefined));
}

/** The settings as TOML text. */
export function formatSettings(opts: SettingsOptions): string {
  const sections: Readonly<Record<string, Section>> = {
    instance: { id: opts.id, domain: opts.domain, region: opts.region },
    listen: {
      caller: ANY_PORT,
      probe: ANY_PORT,
      peer: ANY_PORT,
      ...opts.listen,
    },
    advertise: { ...opts.advertise },
    platform: { address: opts.platform, timeout_ms: opts.platformTimeoutMs },
    peers: { seeds: opts.seeds ?? [], secret: opts.secret ?? TEST_SECRET },
    lease: { ttl_ms: opts.leaseTtlMs, renew_ms: opts.leaseRenewMs },
    keys: {
      staleness_limit_ms: opts.keysStalenessLimitMs,
      when_isolated: opts.keysWhenIsolated,
    },
    lookup: { max_age_ms: opts.lookupMaxAgeMs },
    limits: {
      max_body_bytes: opts.limits?.maxBodyBytes,
      buffer_bytes: opts.limits?.bufferBytes,
      ledger_entries: opts.limits?.ledgerEntries,
      ledger_bytes: opts.limits?.ledgerBytes,
      max_connections: opts.limits?.maxConnections,
    },
    log: { level: opts.logLevel },
  };
  const cleaned = Object.entries({ ...sections, ...opts.extra })
    .map(([name, section]) => [name, withoutUndefined(section)])
    .filter(([, section]) => Object.keys(section as Section).length > 0);
  return Toml.stringify(Object.fromEntries(cleaned));
}

/** Writes a settings file and returns its path; throws when the settings are not valid. */
export function writeSettings(opts: SettingsOptions): string {
  const text = formatSettings(opts);
  const checked = Settings.parseSettings(text);
  if (checked.isErr()) throw new Error(checked.error.detail);
  return Temp.writeTempFile(`${opts.id}.toml`, text);
}
