import { describe, expect, it } from "vitest";
import * as Directory from "../../src/gateway/directory.ts";

describe("directory of instances", () => {
  const create = (id: string, region: string, isStranded = false) => ({
    id,
    callerAddress: id,
    domain: `${region}-a`,
    region,
    isStranded,
  });
  const choose = (instances: readonly Directory.DirectoryInstance[]) =>
    Directory.chooseAddresses(instances, "north", "north-a");

  it("names instances of the caller's region that reach targets", () => {
    const instances = [
      create("n1", "north"),
      create("n2", "north", true),
      create("s1", "south"),
    ];
    expect(choose(instances)).toEqual(["n1"]);
  });

  // Guards against callers that stay with instances which can only pass their requests on.
  it("names other regions while no instance of the region reaches targets", () => {
    const instances = [create("n1", "north", true), create("s1", "south")];
    expect(choose(instances)).toEqual(["s1"]);
  });

  // Guards against a directory that names nobody.
  it("names the region's instances while no instance at all reaches targets", () => {
    const instances = [
      create("n1", "north", true),
      create("s1", "south", true),
    ];
    expect(choose(instances)).toEqual(["n1"]);
  });

  // Guards against one instance that gets the callers of a whole region.
  it("names as many other instances as are missing while few of the region reach targets", () => {
    const instances = [
      create("n1", "north"),
      ...["n2", "n3", "n4"].map((id) => create(id, "north", true)),
      ...["s1", "s2", "s3", "s4", "s5"].map((id) => create(id, "south")),
    ];
    const addresses = choose(instances);
    expect(addresses[0]).toBe("n1");
    expect(addresses).toHaveLength(4);
    expect(addresses.slice(1).every((id) => id.startsWith("s"))).toBe(true);
    expect(choose(instances.slice(0, 1).concat(instances.slice(4))))
      .toEqual(["n1"]);
  });
});
