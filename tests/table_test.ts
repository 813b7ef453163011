import * as Fs from "node:fs";
import * as FastCheck from "fast-check";
import { Ok } from "ts-results-es";
import { describe, expect, it } from "vitest";
import * as Baseline from "./support/baseline.ts";
import type * as Context from "../src/cli/context.ts";
import * as ToolSettings from "../src/cli/tool_settings.ts";
import * as Cells from "../src/table/cells.ts";
import * as Columns from "../src/table/columns.ts";
import * as Settings from "../src/settings/settings.ts";
import * as Table from "../src/table/table.ts";

const GOOD = Fs.readFileSync("examples/kaksin/table.csv", "utf8");

/** A table as spreadsheets of other locales write it. */
function asSpreadsheet(delimiter: string): string {
  return "\uFEFF" + GOOD.replaceAll(",", delimiter).replaceAll("\n", "\r\n") +
    delimiter.repeat(5) + "\r\n";
}

describe("parseTable", () => {
  const good = Table.parseTable(GOOD, 7).unwrap();

  it("reads what spreadsheets write; otherwise a save in Excel breaks the table", () => {
    for (const delimiter of [",", ";", "\t"]) {
      const read = Table.parseTable(asSpreadsheet(delimiter), 7);
      expect(read.unwrap()).toEqual(good);
    }
  });

  it("reads a decimal comma as a decimal, and refuses one that may be a thousands mark", () => {
    const text = (cap: string) =>
      asSpreadsheet(";").replace(/;1200;/, `;${cap};`);
    const row = Table.parseTable(text("1200,5"), 1).unwrap()
      .services.get("booking")?.rows[0];
    expect(row?.capRps).toBe(1200.5);
    const err = Table.parseTable(text("1,200"), 1).unwrapErr();
    expect(err.detail).toContain('column cap_rps: "1,200" is not allowed');
  });

  it("names every error at once with row, column, value, range and code", () => {
    const lines = GOOD.split("\n");
    const bad = [
      lines[0]!.replace("burst:nokia-tours", "burst:public")
        .replace("rate:lakeland", "rate:Lakeland")
        .replace("burst:lakeland", "colour"),
      lines[1]!.replace("booking,uusimaa,", "booking,Uusi maa,")
        .replace(",100,", ",120,"),
      lines[2]!.replace(/,POST \/bookings [^,]*,/, ",POST orders,")
        .replace(",10000,", ",1e999,"),
      lines[3]!.replace("pohjois-pohjanmaa-1", "uusimaa-1"),
      lines[3],
      lines[4]! + ",surplus",
    ].join("\n");
    const err = Table.parseTable(bad, 1).unwrapErr();
    Baseline.expectBaseline("table_check_errors.txt", err.detail + "\n");
  });

  it("refuses a rate without any whole token of burst: the account could never send", () => {
    const csv = Table.encodeTable({
      ...good,
      services: new Map(
        [...good.services].map(([name, rules]) => [name, {
          ...rules,
          rows: rules.rows.map((row) => ({
            ...row,
            accounts: new Map([["solo-rides", { rate: 2, burst: 0.5 }]]),
          })),
        }]),
      ),
    });
    const err = Table.parseTable(csv, 1).unwrapErr();
    expect(err.code.number).toBe(405);
    expect(err.detail).toContain("column burst:solo-rides");
  });

  it("refuses a table over 1 MB, which the store would not take", () => {
    const err = Table.parseTable(GOOD + "x".repeat(1_000_000), 1).unwrapErr();
    expect(err.code.number).toBe(304);
  });

  it("never throws, whatever the text; an instance would crash on it", () => {
    const cell = FastCheck.oneof(
      FastCheck.constantFrom(...GOOD.split(/[,\n]/)),
      FastCheck.string({ unit: "binary", maxLength: 8 }),
      FastCheck.double().map(String),
    );
    const mark = FastCheck.constantFrom(",", "\n", ";", "\t", '"', "\r\n");
    const text = FastCheck.array(FastCheck.tuple(cell, mark), { maxLength: 60 })
      .map((parts) => parts.flat().join(""));
    const edit = FastCheck.tuple(FastCheck.nat(GOOD.length), text)
      .map(([at, part]) => GOOD.slice(0, at) + part + GOOD.slice(at + 3));
    FastCheck.assert(
      FastCheck.property(FastCheck.oneof(text, edit), (csv) => {
        const read = Table.parseTable(csv, 1);
        if (read.isErr()) return read.error.detail !== "";
        const again = Table.parseTable(Table.encodeTable(read.value), 1);
        expect(again.unwrap()).toEqual(read.value);
        return true;
      }),
      { numRuns: 2_000 },
    );
  });

  it("survives the largest garbled files: a call with too many arguments would throw", () => {
    const many = (count: number, make: (i: number) => string) =>
      Array.from({ length: count }, (_, i) => make(i));
    const header = GOOD.split("\n")[0]!;
    const files = [
      ",".repeat(999_999),
      "\n".repeat(999_999),
      many(140_000, (i) => i.toString(36)).join(","),
      header + "\n" + many(400_000, () => "x").join("\n"),
      header + "\n" + ",".repeat(900_000),
      header + "\n" + many(400_000, () => "x").join(","),
      header + '\n"' + "x".repeat(900_000),
    ];
    for (const csv of files) {
      const startMs = performance.now();
      const err = Table.parseTable(csv, 1).unwrapErr();
      // An instance that stands still for longer loses its lease.
      expect(performance.now() - startMs).toBeLessThan(5_000);
      expect(err.detail.length).toBeLessThan(500_000);
    }
  });

  it("round-trips; otherwise a pull and apply without an edit would change something", () => {
    expect(Table.parseTable(Table.encodeTable(good), 7).unwrap()).toEqual(good);
    expect(Table.planTable(good, good)).toEqual([]);
  });
});

describe("findRoute", () => {
  const rules = Table.parseTable(GOOD, 1).unwrap().services.get("booking")!;

  it("matches at segment boundaries: a longer name is another route", () => {
    const find = (method: string, path: string) => {
      const { isOnce, isOpen } = Table.findRoute(rules, method, path);
      return isOnce ? "once" : isOpen ? "open" : "keyed";
    };
    expect(find("POST", "/bookings")).toBe("once");
    expect(find("POST", "/bookings/7/extend")).toBe("once");
    expect(find("POST", "/bookings2")).toBe("keyed");
    expect(find("GET", "/bookings")).toBe("keyed");
    expect(find("GET", "/fleet/tandems")).toBe("open");
    expect(find("GET", "/fleets")).toBe("keyed");
  });

  it("never calls a once route open: an anonymous request has no ticket", () => {
    const all = { ...rules, open: ["/"] };
    expect(Table.findRoute(all, "POST", "/holds"))
      .toEqual({ isOnce: true, isOpen: false });
    expect(Table.findRoute(all, "GET", "/x").isOpen).toBe(true);
  });
});

describe("examples", () => {
  for (const company of ["kaksin", "tende"]) {
    it(`${company}: the table has the page's sizes and link rates below the shared link`, () => {
      const csv = Fs.readFileSync(`examples/${company}/table.csv`, "utf8");
      const table = Table.parseTable(csv, 1).unwrap();
      expect([...table.services.keys()]).toEqual([
        company === "kaksin" ? "booking" : "order",
        "payment",
      ]);
      expect(table.accounts.length).toBe(8);
      expect(table.domains.size).toBe(6);
      const links = [...table.services.values()].map((rules) =>
        Math.max(...rules.rows.map((row) => row.linkMbps))
      );
      const sum = links.reduce((a, b) => a + b, 0);
      expect(sum).toBeLessThan(company === "kaksin" ? 280 : 4000);
    });

    it(`${company}: the settings are good and name a domain of the table`, () => {
      const cfg = Settings.parseSettings(
        Fs.readFileSync(`examples/${company}/instance.toml`, "utf8"),
      ).unwrap();
      const csv = Fs.readFileSync(`examples/${company}/table.csv`, "utf8");
      const { domains } = Table.parseTable(csv, 1).unwrap();
      expect(domains.get(cfg.instance.domain)).toBe(cfg.instance.region);
    });
  }

  it("systemd waits for the longest drain before it kills, and starts the program that is built", () => {
    const unit = Fs.readFileSync(
      "examples/systemd/anvilrouted.service",
      "utf8",
    );
    const stopS = Number(/^TimeoutStopSec=(\d+)$/m.exec(unit)?.[1]);
    const deadlines = ["kaksin", "tende"].flatMap((company) => {
      const csv = Fs.readFileSync(`examples/${company}/table.csv`, "utf8");
      const { services } = Table.parseTable(csv, 1).unwrap();
      return [...services.values()].map((rules) => rules.deadlineMs);
    });
    const DEFAULT_MAX_AGE_MS = 5_000;
    const drainMs = Math.max(...deadlines) + DEFAULT_MAX_AGE_MS;
    expect(stopS * 1000).toBeGreaterThan(drainMs);
    const { bin } = JSON.parse(Fs.readFileSync("package.json", "utf8"));
    expect(unit).toContain(`/opt/anvilroute/${bin.anvilrouted} --config`);
    expect(unit).toMatch(/^RestartPreventExitStatus=2$/m);
  });

  it("the tool's settings are good", () => {
    const files = {
      exists: () => true,
      read: (path: string) => Ok(Fs.readFileSync(path, "utf8")),
      write: () => Ok(undefined),
    };
    const deps = { files, operator: "matti" } as unknown as Context.Deps;
    const opts = { config: "examples/tool.toml" };
    const settings = ToolSettings.readToolSettings(opts, deps).unwrap();
    expect(settings.peers.length).toBe(3);
  });
});

describe("documents", () => {
  it("docs/table.md has every column with the range that the code checks", () => {
    const doc = Fs.readFileSync("docs/table.md", "utf8");
    for (const column of Columns.FIXED_COLUMNS) {
      const row = doc.split("\n").find((line) =>
        line.startsWith(`| \`${column}\``)
      );
      expect(row, column).toBeDefined();
      if (!(column in Columns.RANGES)) continue;
      const range = Columns.RANGES[column as keyof typeof Columns.RANGES];
      expect(row).toContain(Cells.formatRange(range));
    }
  });

  it("docs/settings.md has every setting that the code reads", () => {
    const doc = Fs.readFileSync("docs/settings.md", "utf8");
    const code = Fs.readFileSync("src/settings/settings.ts", "utf8");
    const keys = [...code.matchAll(/r\.(?:\w+)\(\s*"([a-z_.]+)"/g)]
      .map((match) => match[1]);
    expect(keys.length).toBeGreaterThan(20);
    const documented = [...doc.matchAll(/^\| `([a-z_]+\.[a-z_]+)`/gm)]
      .map((match) => match[1]);
    for (const key of keys) expect(documented).toContain(key);
  });
});
