/** The paths of all services: the section titles of the protocol. */

/** Appends the parameters that are not undefined to a path. */
function withQuery(path: string, parameters: Record<string, string | number | undefined>): string {
  const query = Object.entries(parameters)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${encodeURIComponent(String(value))}`)
    .join("&");
  return query === "" ? path : `${path}?${query}`;
}

/** Where controllers, the cloud and the state service answer. */
export const paths = {
  /** "GET /up": the load balancer's health check. */
  health: "/up",
  /** "POST /work": submits a job. */
  submit: "/work",
  /** "GET /work/{id}": a job's status; captures the id. */
  job: /^\/work\/([^/]+)$/,
  /** "POST /work/{id}/withdraw": cancels a job; captures the id. */
  cancel: /^\/work\/([^/]+)\/withdraw$/,
  /** "POST /agent/beat": a worker's heartbeat. */
  heartbeat: "/agent/beat",
  /** Section "Controller nodes -> cloud". */
  cloud: {
    /** GET: all machine types. */
    types: "/flavors",
    /** POST: rents machines. */
    rent: "/rentals",
    /** POST: returns machines. */
    returnMachines: "/rentals/return",
    /** GET: one page of the machine list, beginning after a host. */
    list: (after: string | undefined, limit: number) => withQuery("/rentals", { since: after, limit }),
  },
  /** Section "Controller nodes -> state service". */
  state: {
    /** GET: the value of one key, whose slashes are not escaped. */
    value: (key: string) => `/kv/${key}`,
    /** GET: one page of the entries with a prefix, beginning after a key. */
    page: (prefix: string, after: string | undefined, limit: number) =>
      withQuery("/kv", { starts: prefix, since: after, limit }),
    /** POST: a transaction. */
    transaction: "/multi",
    /** POST: grants a lease. */
    leases: "/grants",
    /** POST: renews a lease. */
    renew: (lease: number) => `/grants/${lease}/renew`,
    /** DELETE: ends a lease. */
    lease: (lease: number) => `/grants/${lease}`,
    /** GET: waits up to `waitMs` milliseconds for changes after a revision. */
    changes: (prefix: string, since: number, waitMs: number) =>
      withQuery("/changes", { starts: prefix, since, waitMs }),
  },
} as const;
