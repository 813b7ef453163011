/** Generates docs/result_codes.md from src/result_codes.ts; with `--check` it compares the file instead of writing it. */
import * as Fs from "node:fs";
import * as ResultCodes from "../result_codes.ts";

const DOC_PATH = "docs/result_codes.md";

const INTRO = `# Result codes

Generated from \`src/result_codes.ts\` by \`npm run codes\`; do not edit by hand.

Numbers from 101 are answers to callers, from 201 peers, from 301 the platform,
from 401 the table, from 501 the settings, from 601 the operators' tool. A
caller finds the number in the \`Anvilroute-Code\` header and in the body.

`;

/** Returns the page as Markdown. */
export function formatPage(): string {
  const head = "| code | name | HTTP | meaning | what to do |\n" +
    "| --- | --- | --- | --- | --- |\n";
  const rows = Object.values(ResultCodes.codes).map((info) => {
    const status = info.status === 0 ? "" : String(info.status);
    return `| ${info.number} | ${info.name} | ${status} | ${info.meaning} | ${info.action} |\n`;
  });
  return INTRO + head + rows.join("");
}

/** Removes the padding that the formatter adds to Markdown tables. */
function normalizePadding(text: string): string {
  return text.replace(/-{3,}/g, "---").replace(/[ ]+/g, " ");
}

function main(): void {
  const page = formatPage();
  if (!process.argv.includes("--check")) {
    Fs.writeFileSync(DOC_PATH, page);
    return;
  }
  if (
    normalizePadding(Fs.readFileSync(DOC_PATH, "utf8")) ===
      normalizePadding(page)
  ) return;
  process.stderr.write(
    `${DOC_PATH} differs from src/result_codes.ts; run npm run codes\n`,
  );
  process.exitCode = 1;
}

main();
