/** Fleets at today's sizes: Kaksin and Tende. */

/** One failure domain of a fleet. */
export interface DomainLayout {
  readonly domain: string;
  readonly region: string;
  readonly instances: number;
}

/** One service's targets, spread over the domains in turn. */
export interface ServiceLayout {
  readonly service: string;
  readonly workers: number;
  readonly slots: number;
  readonly serviceMs: number;
}

/** A fleet to start. */
export interface FleetLayout {
  readonly name: string;
  readonly domains: readonly DomainLayout[];
  readonly services: readonly ServiceLayout[];
  /** Route that places an order, and one that browses. */
  readonly orderService: string;
  readonly orderPath: string;
  readonly browsePath: string;
  readonly accounts: readonly string[];
}

function domainsOf(
  counts: Readonly<Record<string, readonly [number, number]>>,
): readonly DomainLayout[] {
  return Object.entries(counts).flatMap(([region, [first, second]]) => [
    { domain: `${region}-1`, region, instances: first },
    { domain: `${region}-2`, region, instances: second },
  ]);
}

/** 8 entry instances, 28 booking workers, 12 payment workers. */
export const kaksin: FleetLayout = {
  name: "kaksin",
  domains: domainsOf({
    "uusimaa": [2, 1],
    "pirkanmaa": [2, 1],
    "pohjois-pohjanmaa": [1, 1],
  }),
  services: [
    { service: "booking", workers: 28, slots: 7, serviceMs: 20 },
    { service: "payment", workers: 12, slots: 3, serviceMs: 30 },
  ],
  orderService: "booking",
  orderPath: "/bookings",
  browsePath: "/bikes",
  accounts: [
    "nokia-tours",
    "lakeland",
    "helsinki-hotels",
    "saimaa-cycling",
    "oulu-wheels",
    "tampere-youth",
    "archipelago",
    "solo-rides",
  ],
};

/** 9 entry instances, 20 order workers, 12 payment workers. */
export const tende: FleetLayout = {
  name: "tende",
  domains: domainsOf({
    "lombardia": [2, 2],
    "trentino": [2, 1],
    "piemonte": [1, 1],
  }),
  services: [
    { service: "order", workers: 20, slots: 9, serviceMs: 20 },
    { service: "payment", workers: 12, slots: 3, serviceMs: 30 },
  ],
  orderService: "order",
  orderPath: "/orders",
  browsePath: "/lots",
  accounts: [
    "outfitters-milano",
    "alpine-club",
    "fiera-trento",
    "rifugi-uniti",
    "torino-camp",
    "scout-brescia",
    "pastori-camonica",
    "shepherd-rossi",
  ],
};

/** Layout by name; undefined for an unknown one. */
export function tryGetLayout(name: string): FleetLayout | undefined {
  return [kaksin, tende].find((one) => one.name === name);
}
