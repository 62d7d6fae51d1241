/** Where each service answers. */
const query = (path: string, parameters: Record<string, string | number | undefined>): string => {
  const text = Object.entries(parameters)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${encodeURIComponent(String(value))}`)
    .join("&");
  return text === "" ? path : `${path}?${text}`;
};

export const paths = {
  health: "/up",
  submit: "/work",
  job: /^\/work\/([^/]+)$/,
  cancel: /^\/work\/([^/]+)\/withdraw$/,
  heartbeat: "/agent/beat",
  cloud: {
    types: "/flavors",
    rent: "/rentals",
    returnMachines: "/rentals/return",
    list: (after: string | undefined, limit: number) => query("/rentals", { since: after, limit }),
  },
  state: {
    value: (key: string) => `/kv/${key}`,
    page: (prefix: string, after: string | undefined, limit: number) =>
      query("/kv", { starts: prefix, since: after, limit }),
    transaction: "/multi",
    leases: "/grants",
    renew: (lease: number) => `/grants/${lease}/renew`,
    lease: (lease: number) => `/grants/${lease}`,
    changes: (prefix: string, since: number, waitMs: number) =>
      query("/changes", { starts: prefix, since, waitMs }),
  },
} as const;

/** A request to return machines as the cloud expects it. */
export function cloudReturnToWire(hosts: string[]): object {
  return { hosts };
}
