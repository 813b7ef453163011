#!/usr/bin/env node
/** Entry point of `anvilroutectl`. */
import * as Crypto from "node:crypto";
import * as PeerClient from "../peer/client.ts";
import * as PlatformClient from "../platform/client.ts";
import * as ProcessDeps from "./process_deps.ts";
import * as Run from "./run.ts";

const closers: (() => Promise<void>)[] = [];
const id = `tool-${Crypto.randomBytes(4).toString("hex")}`;

const deps = ProcessDeps.createProcessDeps({
  connectPlatform(address, timeoutMs) {
    const client = PlatformClient.createPlatformClient({ address, timeoutMs });
    closers.push(client.close);
    return client;
  },
  connectPeer: (address, secret) =>
    PeerClient.createPeerClient({ address, secret, id }),
});
process.exitCode = await Run.run(process.argv.slice(2), deps);
for (const close of closers) await close();
