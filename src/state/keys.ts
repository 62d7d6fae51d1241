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
  shard: (n: number) => `${LIVE}shards/${n}`,
  job: (id: string) => `${LIVE}jobs/${id}`,
  /** Completed tasks of many jobs of a shard. */
  progress: (shard: number, page: number) => `${LIVE}done/${shard}/${page}`,
  /** Completed tasks of one job of very many. */
  done: (id: string, chunk: number) => `${LIVE}done/${id}/${chunk}`,
  /** Machines that came together. */
  machines: (name: string) => `${LIVE}machines/${name}`,
  /** Changes with each registration of machines that no order brought: of two such writes, one fails. */
  registration: `${LIVE}registration`,
  /** What a shard keeps free of a team's limit for a job that has passed to another shard. */
  quota: (shard: number, job: string) => `${LIVE}quota/${shard}/${job}`,
  order: (name: string) => `${LIVE}orders/${name}`,
  /** What a shard is short of, where its owner cannot tell the leader. */
  demand: (shard: number) => `${LIVE}demand/${shard}`,
  type: (name: string) => `${LIVE}types/${encodeURIComponent(name)}`,
  ended: (id: string) => `${ROOT}ended/${id}`,
};

export const prefixes = {
  members: `${LIVE}members/`,
  shards: `${LIVE}shards/`,
  jobs: `${LIVE}jobs/`,
  done: `${LIVE}done/`,
  machines: `${LIVE}machines/`,
  orders: `${LIVE}orders/`,
  quota: (shard: number) => `${LIVE}quota/${shard}/`,
  types: `${LIVE}types/`,
  ended: `${ROOT}ended/`,
};
