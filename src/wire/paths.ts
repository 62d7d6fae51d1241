/** The request paths of all services, as in the section titles of the protocol. */

/** Appends a query string to a path; parameters that are undefined are left out. */
function withQuery(path: string, parameters: Record<string, string | number | undefined>): string {
  const query = Object.entries(parameters)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${encodeURIComponent(String(value))}`)
    .join("&");
  return query === "" ? path : `${path}?${query}`;
}

/** The paths served by controllers, the cloud and the state service. */
export const paths = {
  /** "GET /up": the load balancer's health check. */
  health: "/up",
  /** "POST /work": submits a job. */
  submit: "/work",
  /** "GET /work/{id}": returns a job's status; the pattern captures the id. */
  job: /^\/work\/([^/]+)$/,
  /** "POST /work/{id}/withdraw": cancels a job; the pattern captures the id. */
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
    /** GET: one page of the machine list, starting after a host (undefined: the first page). */
    list: (after: string | undefined, limit: number) => withQuery("/rentals", { since: after, limit }),
  },
  /** Section "Controller nodes -> state service". */
  state: {
    /** GET: the value of a key; slashes in the key are not escaped. */
    value: (key: string) => `/kv/${key}`,
    /** GET: one page of the entries with a prefix, starting after a key (undefined: the first page). */
    page: (prefix: string, after: string | undefined, limit: number) =>
      withQuery("/kv", { starts: prefix, since: after, limit }),
    /** POST: executes a transaction. */
    transaction: "/multi",
    /** POST: grants a lease. */
    leases: "/grants",
    /** POST: renews a lease. */
    renew: (lease: number) => `/grants/${lease}/renew`,
    /** DELETE: revokes a lease. */
    lease: (lease: number) => `/grants/${lease}`,
    /** GET: waits up to `waitMs` milliseconds for changes after a revision. */
    changes: (prefix: string, since: number, waitMs: number) =>
      withQuery("/changes", { starts: prefix, since, waitMs }),
  },
} as const;
