/**
 * Types of single undici modules that are imported directly. undici's index also
 * loads fetch, caches and web sockets, which takes a third of the processor time
 * of an instance's start.
 */
declare module "undici/lib/dispatcher/client.js" {
  const value: typeof import("undici").Client;
  export default value;
}

declare module "undici/lib/core/connect.js" {
  const value: typeof import("undici").buildConnector;
  export default value;
}

declare module "undici/lib/dispatcher/pool.js" {
  const value: typeof import("undici").Pool;
  export default value;
}
