/**
 * Where records lie. All that is live sits under one prefix and is read whole at the start; jobs that are over lie
 * outside it, and of them only what happens later is followed. One feed carries both in one order.
 */
export const ROOT = "fernpond/";
export const LIVE = `${ROOT}live/`;
/** Nothing is ever written here: reading it tells the service's revision and nothing else. */
export const NO_SUCH_KEY = `${ROOT}none`;

export const keys = {
  leader: `${LIVE}leader`,
  member: (node: string) => `${LIVE}members/${node}`,
  share: (n: number) => `${LIVE}shares/${n}`,
  job: (id: string) => `${LIVE}jobs/${id}`,
  /** Completed tasks of many jobs of a share. */
  progress: (share: number, page: number) => `${LIVE}done/${share}/${page}`,
  /** Completed tasks of one job of very many. */
  done: (id: string, chunk: number) => `${LIVE}done/${id}/${chunk}`,
  /** Machines that came together. */
  machines: (name: string) => `${LIVE}machines/${name}`,
  /** Changes with each adoption of machines that no order brought: of two such writes, one fails. */
  adoption: `${LIVE}adoption`,
  order: (name: string) => `${LIVE}orders/${name}`,
  /** What a share is short of, where its owner cannot tell the leader. */
  demand: (share: number) => `${LIVE}demand/${share}`,
  type: (name: string) => `${LIVE}types/${encodeURIComponent(name)}`,
  ended: (id: string) => `${ROOT}ended/${id}`,
};

export const prefixes = {
  members: `${LIVE}members/`,
  shares: `${LIVE}shares/`,
  jobs: `${LIVE}jobs/`,
  done: `${LIVE}done/`,
  machines: `${LIVE}machines/`,
  orders: `${LIVE}orders/`,
  types: `${LIVE}types/`,
  ended: `${ROOT}ended/`,
};
