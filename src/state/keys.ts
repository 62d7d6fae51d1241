/**
 * Where records lie. All that is live sits under one prefix and is read whole at the start; jobs that are over lie
 * outside it, and of them only what happens later is followed. One feed carries both in one order.
 */
export const ROOT_PREFIX = "fernpond/";
export const LIVE_PREFIX = `${ROOT_PREFIX}live/`;
/** Nothing is ever written here: reading it tells the service's revision and nothing else. */
export const ABSENT_KEY = `${ROOT_PREFIX}none`;

export const keys = {
  leader: `${LIVE_PREFIX}leader`,
  member: (node: string) => `${LIVE_PREFIX}members/${node}`,
  shard: (n: number) => `${LIVE_PREFIX}shards/${n}`,
  job: (id: string) => `${LIVE_PREFIX}jobs/${id}`,
  /** Completed tasks of many jobs of a shard. */
  completedTasksPage: (shard: number, page: number) => `${LIVE_PREFIX}done/${shard}/${page}`,
  /** Completed tasks of one job of very many. */
  completedTasksChunk: (id: string, chunk: number) => `${LIVE_PREFIX}done/${id}/${chunk}`,
  /** Machines that came together. */
  machineGroup: (name: string) => `${LIVE_PREFIX}machines/${name}`,
  /** Changes with each registration of machines that no order brought: of two such writes, one fails. */
  machineRegistration: `${LIVE_PREFIX}registration`,
  /** What a shard keeps free of a team's limit for a job that has passed to another shard. */
  quotaReservation: (shard: number, job: string) => `${LIVE_PREFIX}quota/${shard}/${job}`,
  rentalOrder: (name: string) => `${LIVE_PREFIX}orders/${name}`,
  /** What a shard is short of, where its owner cannot tell the leader. */
  shardDemand: (shard: number) => `${LIVE_PREFIX}demand/${shard}`,
  machineType: (name: string) => `${LIVE_PREFIX}types/${encodeURIComponent(name)}`,
  endedJob: (id: string) => `${ROOT_PREFIX}ended/${id}`,
};

export const prefixes = {
  members: `${LIVE_PREFIX}members/`,
  shards: `${LIVE_PREFIX}shards/`,
  jobs: `${LIVE_PREFIX}jobs/`,
  completedTasks: `${LIVE_PREFIX}done/`,
  machineGroups: `${LIVE_PREFIX}machines/`,
  rentalOrders: `${LIVE_PREFIX}orders/`,
  quotaReservations: (shard: number) => `${LIVE_PREFIX}quota/${shard}/`,
  machineTypes: `${LIVE_PREFIX}types/`,
  endedJobs: `${ROOT_PREFIX}ended/`,
};
