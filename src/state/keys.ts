/**
 * Where records lie. All that is live sits under one prefix, so that one feed carries it in one order; jobs that
 * are over lie outside it and are read when somebody asks.
 */
export const LIVE = "fernpond/live/";

export const keys = {
  leader: `${LIVE}leader`,
  member: (node: string) => `${LIVE}members/${node}`,
  share: (n: number) => `${LIVE}shares/${n}`,
  job: (id: string) => `${LIVE}jobs/${id}`,
  done: (id: string, chunk: number) => `${LIVE}done/${id}/${chunk}`,
  machine: (host: string) => `${LIVE}machines/${host}`,
  order: (name: string) => `${LIVE}orders/${name}`,
  type: (name: string) => `${LIVE}types/${encodeURIComponent(name)}`,
  ended: (id: string) => `fernpond/ended/${id}`,
};

export const prefixes = {
  members: `${LIVE}members/`,
  shares: `${LIVE}shares/`,
  jobs: `${LIVE}jobs/`,
  done: `${LIVE}done/`,
  machines: `${LIVE}machines/`,
  orders: `${LIVE}orders/`,
  types: `${LIVE}types/`,
};
