/**
 * Single modules of undici. Its index loads fetch, caches and web sockets as
 * well, which take a third of the processor time of an instance's start.
 */
declare module "undici/lib/dispatcher/client.js" {
  const value: typeof import("undici").Client;
  export default value;
}

declare module "undici/lib/dispatcher/pool.js" {
  const value: typeof import("undici").Pool;
  export default value;
}
