/** Reads typed values from a parsed TOML document and collects all errors. */
import * as Net from "node:net";

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
const MAX_PORT = 65_535;

/** Reads settings by dotted key. A missing or invalid setting adds an error and returns a placeholder. */
export interface Reader {
  name(key: string): string;
  string(key: string, minChars: number): string;
  address(key: string, fallback?: string): string;
  addresses(key: string): readonly string[];
  /** Reads an IP address without a port; undefined when the setting is absent. */
  optionalIp(key: string): string | undefined;
  integer(key: string, min: number, max: number, fallback: number): number;
  choice<T extends string>(key: string, allowed: readonly T[], fallback: T): T;
  /** Adds an error unless `isValid`; `allowed` describes the allowed values. */
  require(key: string, value: unknown, isValid: boolean, allowed: string): void;
  /** Returns all errors, including one for each setting that was never read. */
  finish(): readonly string[];
}

/** Returns true for `IPv4:port` and `[IPv6]:port`; port 0 lets the operating system choose a free port. */
export function isAddress(address: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
  if (match === null) return false;
  const host = match[1] ?? match[2] ?? "";
  return Net.isIP(host) !== 0 && Number(match[3]) <= MAX_PORT;
}

type TomlTable = { readonly [key: string]: unknown };

function isTomlTable(value: unknown): value is TomlTable {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Creates a reader over a parsed TOML document. */
export function createReader(raw: TomlTable): Reader {
  const errors: string[] = [];
  const knownKeys = new Set<string>();

  function getValue(key: string): unknown {
    knownKeys.add(key);
    let node: unknown = raw;
    for (const segment of key.split(".")) {
      if (!isTomlTable(node)) return undefined;
      node = node[segment];
    }
    return node;
  }

  function addError(key: string, value: unknown, allowed: string): void {
    // A secret must not appear in the terminal or in a log.
    const shownValue = key.endsWith("secret")
      ? "(hidden)"
      : JSON.stringify(value);
    errors.push(
      value === undefined
        ? `${key} is missing; allowed: ${allowed}`
        : `${key} = ${shownValue} is not allowed; allowed: ${allowed}`,
    );
  }

  function forEachLeaf(
    node: TomlTable,
    prefix: string,
    onLeaf: (key: string) => void,
  ): void {
    for (const [key, value] of Object.entries(node)) {
      const path = prefix === "" ? key : `${prefix}.${key}`;
      if (isTomlTable(value)) forEachLeaf(value, path, onLeaf);
      else onLeaf(path);
    }
  }

  return {
    name(key) {
      const value = getValue(key);
      if (typeof value === "string" && NAME.test(value)) return value;
      addError(key, value, "lower-case letters, digits and '-', at most 63");
      return "invalid";
    },
    string(key, minChars) {
      const value = getValue(key);
      if (typeof value === "string" && value.length >= minChars) return value;
      addError(key, value, `a text of at least ${minChars} characters`);
      return "";
    },
    address(key, fallback) {
      const value = getValue(key) ?? fallback;
      if (typeof value === "string" && isAddress(value)) return value;
      addError(key, value, "IP:port, for example 10.0.0.5:8080");
      return "127.0.0.1:0";
    },
    addresses(key) {
      const value = getValue(key) ?? [];
      const isValid = Array.isArray(value) &&
        value.every((address) =>
          typeof address === "string" && isAddress(address)
        );
      if (isValid) return value as readonly string[];
      addError(key, value, "a list of IP:port");
      return [];
    },
    optionalIp(key) {
      const value = getValue(key);
      if (value === undefined) return undefined;
      if (typeof value === "string" && Net.isIP(value) !== 0) return value;
      addError(key, value, "an IP number, for example 10.0.0.5");
      return undefined;
    },
    integer(key, min, max, fallback) {
      const value = getValue(key) ?? fallback;
      const isValid = typeof value === "number" && Number.isInteger(value) &&
        value >= min && value <= max;
      if (isValid) return value;
      addError(key, value, `an integer from ${min} to ${max}`);
      return fallback;
    },
    choice(key, allowed, fallback) {
      const value = getValue(key) ?? fallback;
      const match = allowed.find((option) => option === value);
      if (match !== undefined) return match;
      addError(key, value, allowed.join(" | "));
      return fallback;
    },
    require(key, value, isValid, allowed) {
      if (!isValid) addError(key, value, allowed);
    },
    finish() {
      forEachLeaf(raw, "", (key) => {
        if (!knownKeys.has(key)) errors.push(`${key} is not a known setting`);
      });
      return errors;
    },
  };
}
