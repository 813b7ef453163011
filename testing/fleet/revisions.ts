/** Follows the table revision that each instance says is in force. */
import * as Clock from "../../src/clock.ts";
import * as PeerClient from "../../src/peer/client.ts";
import * as Settings from "../harness/settings.ts";
import type * as Fleet from "./fleet.ts";

const POLL_MS = 100;
const CALL_TIMEOUT_MS = 1_000;

/** What `status` of one instance says. */
export interface SeenStatus {
  readonly id: string;
  readonly incarnation: string;
  readonly state: string;
  readonly tableRevision: number;
}

/** Runs until it is ended. */
export interface RevisionWatch {
  /** Last status of each instance that answered in this run of its process. */
  getLast(id: string): SeenStatus | undefined;
  /** Falls of a revision within one run of an instance. */
  getReverts(): readonly string[];
  end(): Promise<void>;
}

/** Opens a connection of a tool to an instance. */
export function connect(
  instance: Fleet.FleetInstance,
  id: string,
): PeerClient.PeerClient {
  const { peer: address } = instance;
  return PeerClient.createPeerClient({
    address,
    secret: Settings.TEST_SECRET,
    id,
  });
}

/** Polls `status` of every running instance of the fleet. */
export function watchRevisions(fleet: Fleet.Fleet): RevisionWatch {
  const last = new Map<string, SeenStatus>();
  const reverts: string[] = [];
  const followed = new Map<Fleet.FleetInstance, Promise<void>>();
  let isEnded = false;

  function take(seen: SeenStatus): void {
    const before = last.get(seen.id);
    const isSameRun = before?.incarnation === seen.incarnation;
    if (isSameRun && seen.tableRevision < before.tableRevision) {
      reverts.push(
        `${seen.id}: ${before.tableRevision} -> ${seen.tableRevision}`,
      );
    }
    last.set(seen.id, seen);
  }

  async function follow(instance: Fleet.FleetInstance): Promise<void> {
    const client = connect(instance, `tool-watch-${instance.id}`);
    while (!isEnded && instance.process.isRunning()) {
      const answer = await client.call<SeenStatus>(
        "status",
        {},
        CALL_TIMEOUT_MS,
      );
      if (answer.isOk()) take(answer.value);
      await Clock.sleep(POLL_MS);
    }
    client.close();
  }

  async function run(): Promise<void> {
    while (!isEnded) {
      for (const one of fleet.instances) {
        if (!followed.has(one)) followed.set(one, follow(one));
      }
      await Clock.sleep(POLL_MS);
    }
    await Promise.all(followed.values());
  }

  const done = run();
  return {
    getLast: (id) => last.get(id),
    getReverts: () => reverts,
    async end() {
      isEnded = true;
      await done;
    },
  };
}
