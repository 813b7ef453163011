/** Decides which registrations of the platform's list name a usable target. */
import type * as Types from "../types.ts";
import * as Wire from "../peer/wire.ts";

/** Slots are assigned to instances one by one, so a huge number would block the event loop. */
const MAX_SLOTS = 10_000;
/** Ids are sent in headers and reports. */
const ID_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Returns what is wrong with a registration; undefined if it names a usable target. */
export function tryGetFault(
  { address, id, slots }: Types.PlatformInstance,
): string | undefined {
  if (!ID_PATTERN.test(id)) {
    return "the id has characters that headers cannot carry";
  }
  const parsed = Wire.tryParseAddress(address);
  const isValid = parsed !== undefined && parsed.port > 0 &&
    URL.canParse(`http://${address}`);
  if (!isValid) return "the address is not host:port";
  if (slots > MAX_SLOTS) return `${slots} slots are too many`;
  return undefined;
}
