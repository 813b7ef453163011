/** Reads typed values out of parsed TOML and collects every error. */
import * as Net from "node:net";

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
const MAX_PORT = 65_535;

/** Reads settings by dotted name. A wrong one is noted and replaced by a placeholder. */
export interface Reader {
  name(key: string): string;
  text(key: string, minChars: number): string;
  address(key: string, fallback?: string): string;
  addresses(key: string): readonly string[];
  /** An IP number without a port, or undefined when the setting is left out. */
  optionalIp(key: string): string | undefined;
  integer(key: string, min: number, max: number, fallback: number): number;
  choice<T extends string>(key: string, allowed: readonly T[], fallback: T): T;
  /** Notes an error unless `isGood`. */
  require(key: string, value: unknown, isGood: boolean, allowed: string): void;
  /** All errors, unknown settings included. */
  finish(): readonly string[];
}

/** True for `IP:port`, `[IPv6]:port`; port 0 asks the system for a free one. */
export function isAddress(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const host = match[1] ?? match[2] ?? "";
  return Net.isIP(host) !== 0 && Number(match[3]) <= MAX_PORT;
}

type Raw = { readonly [key: string]: unknown };

function isRaw(value: unknown): value is Raw {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Creates a reader over a parsed TOML document. */
export function createReader(raw: Raw): Reader {
  const errors: string[] = [];
  const seen = new Set<string>();

  function get(key: string): unknown {
    seen.add(key);
    let at: unknown = raw;
    for (const part of key.split(".")) {
      if (!isRaw(at)) return undefined;
      at = at[part];
    }
    return at;
  }

  function note(key: string, value: unknown, allowed: string): void {
    // The value of a secret must not reach the terminal or a log.
    const shown = key.endsWith("secret") ? "(hidden)" : JSON.stringify(value);
    errors.push(
      value === undefined
        ? `${key} is missing; allowed: ${allowed}`
        : `${key} = ${shown} is not allowed; allowed: ${allowed}`,
    );
  }

  function forEachLeaf(
    at: Raw,
    prefix: string,
    fn: (key: string) => void,
  ): void {
    for (const [key, value] of Object.entries(at)) {
      const path = prefix === "" ? key : `${prefix}.${key}`;
      if (isRaw(value)) forEachLeaf(value, path, fn);
      else fn(path);
    }
  }

  return {
    name(key) {
      const value = get(key);
      if (typeof value === "string" && NAME.test(value)) return value;
      note(key, value, "lower-case letters, digits and '-', at most 63");
      return "invalid";
    },
    text(key, minChars) {
      const value = get(key);
      if (typeof value === "string" && value.length >= minChars) return value;
      note(key, value, `a text of at least ${minChars} characters`);
      return "";
    },
    address(key, fallback) {
      const value = get(key) ?? fallback;
      if (typeof value === "string" && isAddress(value)) return value;
      note(key, value, "IP:port, for example 10.0.0.5:8080");
      return "127.0.0.1:0";
    },
    addresses(key) {
      const value = get(key) ?? [];
      const isGood = Array.isArray(value) &&
        value.every((one) => typeof one === "string" && isAddress(one));
      if (isGood) return value as readonly string[];
      note(key, value, "a list of IP:port");
      return [];
    },
    optionalIp(key) {
      const value = get(key);
      if (value === undefined) return undefined;
      if (typeof value === "string" && Net.isIP(value) !== 0) return value;
      note(key, value, "an IP number, for example 10.0.0.5");
      return undefined;
    },
    integer(key, min, max, fallback) {
      const value = get(key) ?? fallback;
      const isGood = typeof value === "number" && Number.isInteger(value) &&
        value >= min && value <= max;
      if (isGood) return value;
      note(key, value, `an integer from ${min} to ${max}`);
      return fallback;
    },
    choice(key, allowed, fallback) {
      const value = get(key) ?? fallback;
      const found = allowed.find((one) => one === value);
      if (found !== undefined) return found;
      note(key, value, allowed.join(" | "));
      return fallback;
    },
    require(key, value, isGood, allowed) {
      if (!isGood) note(key, value, allowed);
    },
    finish() {
      forEachLeaf(raw, "", (key) => {
        if (!seen.has(key)) errors.push(`${key} is not a known setting`);
      });
      return errors;
    },
  };
}
