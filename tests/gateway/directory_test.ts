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
    Directory.chooseAddresses(instances, "north", "north-a", false);

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

describe("directory of instances whose links differ", () => {
  // The links of deployment O: 7 to 140 Mbit/s, in equal ratios.
  const LINKS = Array.from({ length: 12 }, (_, i) => 7 * 20 ** (i / 11));

  const create = (
    linkMbps: number | undefined,
    i: number,
  ): Directory.DirectoryInstance => ({
    id: `n${i}`,
    callerAddress: `n${i}`,
    domain: `north-${i % 2}`,
    region: "north",
    isStranded: false,
    linkMbps,
  });
  const choose = (
    instances: readonly Directory.DirectoryInstance[],
    hasDownloads = true,
  ) => {
    const addresses = Directory.chooseAddresses(
      instances,
      "north",
      "north-0",
      hasDownloads,
    );
    return instances.filter(({ id }) => addresses.includes(id));
  };
  const getCarried = (instances: readonly Directory.DirectoryInstance[]) =>
    instances.length * Math.min(...instances.map((each) => each.linkMbps ?? 0));

  // Guards against small responses that wait behind downloads on the narrowest link:
  // callers pick one of the addresses at random.
  it("leaves out the narrowest, so that the others carry more together", () => {
    const instances = LINKS.map(create);
    const chosen = choose(instances);
    expect(getCarried(chosen)).toBeGreaterThan(2 * getCarried(instances));
    expect(chosen).toEqual(instances.slice(-chosen.length));
  });

  // Guards against a few instances that get the callers of all, or of a whole domain.
  it("keeps half of a region's instances, half of a domain's and two of each", () => {
    for (const factor of [1.01, 2, 20, 1_000]) {
      const links = LINKS.map((_, i) => 7 * factor ** i);
      expect(choose(links.map(create)).length).toBeGreaterThanOrEqual(6);
    }
    const narrow = LINKS.map((_, i) => create(i % 2 === 0 ? 7 : 140, i));
    expect(choose(narrow)).toEqual(narrow);
    const few = [7, 140, 140, 140].map(create);
    expect(choose(few)).toEqual(few);
    const stranded = LINKS.map((mbps, i) => ({
      ...create(mbps, i),
      isStranded: i < 4,
    }));
    expect(choose(stranded).length).toBeGreaterThanOrEqual(6);
  });

  // Guards against a change for deployments that don't ask for it, and beside older builds.
  it("names all while links are equal, nearly so or unknown, or without downloads", () => {
    const isAllNamed = (links: readonly (number | undefined)[]) => {
      const instances = links.map(create);
      return choose(instances).length === instances.length;
    };
    expect(isAllNamed(LINKS.map(() => 40))).toBe(true);
    expect(isAllNamed(LINKS.map((_, i) => 100 - i / 2))).toBe(true);
    expect(isAllNamed([...LINKS.slice(1), undefined])).toBe(true);
    expect(isAllNamed(LINKS.map(() => undefined))).toBe(true);
    const instances = LINKS.map(create);
    expect(choose(instances, false)).toEqual(instances);
    expect(choose([])).toEqual([]);
  });
});
