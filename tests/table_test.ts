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

const EXAMPLE_CSV = Fs.readFileSync("examples/kaksin/table.csv", "utf8");

/** Encodes the example table as a spreadsheet does in locales that use `delimiter`. */
function asSpreadsheet(delimiter: string): string {
  return "\uFEFF" +
    EXAMPLE_CSV.replaceAll(",", delimiter).replaceAll("\n", "\r\n") +
    delimiter.repeat(5) + "\r\n";
}

describe("parseTable", () => {
  const exampleTable = Table.parseTable(EXAMPLE_CSV, 7).unwrap();

  it("accepts the delimiters, BOM, line ends and empty rows of spreadsheets; otherwise saving in Excel would invalidate the table", () => {
    for (const delimiter of [",", ";", "\t"]) {
      const parsed = Table.parseTable(asSpreadsheet(delimiter), 7);
      expect(parsed.unwrap()).toEqual(exampleTable);
    }
  });

  it("parses a decimal comma and rejects a comma that may be a thousands separator; otherwise a limit could change by a factor of 1000", () => {
    const formatCsv = (capRps: string) =>
      asSpreadsheet(";").replace(/;1200;/, `;${capRps};`);
    const row = Table.parseTable(formatCsv("1200,5"), 1).unwrap()
      .services.get("booking")?.rows[0];
    expect(row?.capRps).toBe(1200.5);
    const err = Table.parseTable(formatCsv("1,200"), 1).unwrapErr();
    expect(err.detail).toContain('column cap_rps: "1,200" is not allowed');
  });

  it("reports all errors at once with row, column, value, allowed range and code; otherwise operators would find them one at a time", () => {
    const lines = EXAMPLE_CSV.split("\n");
    const invalidCsv = [
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
    const err = Table.parseTable(invalidCsv, 1).unwrapErr();
    Baseline.expectBaseline("table_check_errors.txt", err.detail + "\n");
  });

  it("rejects a rate whose burst is below one token; otherwise every request of the account would be rejected", () => {
    const csv = Table.encodeTable({
      ...exampleTable,
      services: new Map(
        [...exampleTable.services].map(([name, rules]) => [name, {
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

  it("rejects a table over 1 MB, because the store would reject it", () => {
    const err = Table.parseTable(EXAMPLE_CSV + "x".repeat(1_000_000), 1)
      .unwrapErr();
    expect(err.code.number).toBe(304);
  });

  it("never throws on any input; otherwise a malformed table would crash every instance", () => {
    const cell = FastCheck.oneof(
      FastCheck.constantFrom(...EXAMPLE_CSV.split(/[,\n]/)),
      FastCheck.string({ unit: "binary", maxLength: 8 }),
      FastCheck.double().map(String),
    );
    const separator = FastCheck.constantFrom(",", "\n", ";", "\t", '"', "\r\n");
    const arbitraryCsv = FastCheck.array(FastCheck.tuple(cell, separator), {
      maxLength: 60,
    })
      .map((cellsAndSeparators) => cellsAndSeparators.flat().join(""));
    const editedCsv = FastCheck.tuple(
      FastCheck.nat(EXAMPLE_CSV.length),
      arbitraryCsv,
    )
      .map(([offset, insertion]) =>
        EXAMPLE_CSV.slice(0, offset) + insertion + EXAMPLE_CSV.slice(offset + 3)
      );
    FastCheck.assert(
      FastCheck.property(FastCheck.oneof(arbitraryCsv, editedCsv), (csv) => {
        const parsed = Table.parseTable(csv, 1);
        if (parsed.isErr()) return parsed.error.detail !== "";
        const reparsed = Table.parseTable(Table.encodeTable(parsed.value), 1);
        expect(reparsed.unwrap()).toEqual(parsed.value);
        return true;
      }),
      { numRuns: 2_000 },
    );
  });

  it("reports bounded errors for the largest malformed files; a call with one argument per cell would throw", () => {
    const createMany = (count: number, createItem: (i: number) => string) =>
      Array.from({ length: count }, (_, i) => createItem(i));
    const header = EXAMPLE_CSV.split("\n")[0]!;
    const files = [
      ",".repeat(999_999),
      "\n".repeat(999_999),
      createMany(140_000, (i) => i.toString(36)).join(","),
      header + "\n" + createMany(400_000, () => "x").join("\n"),
      header + "\n" + ",".repeat(900_000),
      header + "\n" + createMany(400_000, () => "x").join(","),
      header + '\n"' + "x".repeat(900_000),
    ];
    for (const csv of files) {
      const startMs = performance.now();
      const err = Table.parseTable(csv, 1).unwrapErr();
      // Parsing blocks the event loop, and an instance that is blocked for longer loses its lease.
      expect(performance.now() - startMs).toBeLessThan(5_000);
      expect(err.detail.length).toBeLessThan(500_000);
    }
  });

  it("parses an encoded table to an equal one; otherwise a pull and apply without an edit would change limits or routes", () => {
    expect(Table.parseTable(Table.encodeTable(exampleTable), 7).unwrap())
      .toEqual(exampleTable);
    expect(Table.planTable(exampleTable, exampleTable)).toEqual([]);
  });
});

describe("findRoute", () => {
  const rules = Table.parseTable(EXAMPLE_CSV, 1).unwrap().services.get(
    "booking",
  )!;

  it("matches prefixes at segment boundaries only; otherwise /bookings2 would be handled as /bookings", () => {
    const findKind = (method: string, path: string) => {
      const { isOnce, isOpen } = Table.findRoute(rules, method, path);
      return isOnce ? "once" : isOpen ? "open" : "keyed";
    };
    expect(findKind("POST", "/bookings")).toBe("once");
    expect(findKind("POST", "/bookings/7/extend")).toBe("once");
    expect(findKind("POST", "/bookings2")).toBe("keyed");
    expect(findKind("GET", "/bookings")).toBe("keyed");
    expect(findKind("GET", "/fleet/tandems")).toBe("open");
    expect(findKind("GET", "/fleets")).toBe("keyed");
  });

  it("never classifies an at-most-once route as open, because an anonymous request cannot hold a ticket", () => {
    const rulesWithOpenRoot = { ...rules, open: ["/"] };
    expect(Table.findRoute(rulesWithOpenRoot, "POST", "/holds"))
      .toEqual({ isOnce: true, isOpen: false });
    expect(Table.findRoute(rulesWithOpenRoot, "GET", "/x").isOpen).toBe(true);
  });
});

describe("in the examples,", () => {
  for (const company of ["kaksin", "tende"]) {
    it(`the table of ${company} has the documented numbers of services, accounts and domains, and link rates whose sum is below the rate of the shared link`, () => {
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
      const totalMbps = links.reduce((a, b) => a + b, 0);
      expect(totalMbps).toBeLessThan(company === "kaksin" ? 280 : 4000);
    });

    it(`the settings of ${company} are valid and name a domain and region of the table`, () => {
      const cfg = Settings.parseSettings(
        Fs.readFileSync(`examples/${company}/instance.toml`, "utf8"),
      ).unwrap();
      const csv = Fs.readFileSync(`examples/${company}/table.csv`, "utf8");
      const { domains } = Table.parseTable(csv, 1).unwrap();
      expect(domains.get(cfg.instance.domain)).toBe(cfg.instance.region);
    });
  }

  it("the systemd unit gives the daemon time for its longest drain before a kill, and starts the file that the build creates", () => {
    const unit = Fs.readFileSync(
      "examples/systemd/anvilrouted.service",
      "utf8",
    );
    const stopTimeoutS = Number(/^TimeoutStopSec=(\d+)$/m.exec(unit)?.[1]);
    const deadlines = ["kaksin", "tende"].flatMap((company) => {
      const csv = Fs.readFileSync(`examples/${company}/table.csv`, "utf8");
      const { services } = Table.parseTable(csv, 1).unwrap();
      return [...services.values()].map((rules) => rules.deadlineMs);
    });
    const DEFAULT_MAX_AGE_MS = 5_000;
    const drainMs = Math.max(...deadlines) + DEFAULT_MAX_AGE_MS;
    expect(stopTimeoutS * 1000).toBeGreaterThan(drainMs);
    const { bin } = JSON.parse(Fs.readFileSync("package.json", "utf8"));
    expect(unit).toContain(`/opt/anvilroute/${bin.anvilrouted} --config`);
    expect(unit).toMatch(/^RestartPreventExitStatus=2$/m);
  });

  it("the settings of the tool are valid", () => {
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

describe("in the documentation,", () => {
  it("docs/table.md lists every column with the range that the parser allows", () => {
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

  it("docs/settings.md lists every setting that the daemon reads", () => {
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
