/**
 * The keys of all records in the state store. Live records share one prefix, which each controller lists completely
 * when it starts. Records of ended jobs are outside that prefix, and only their changes are watched. One watch covers
 * both, so that all changes arrive in one order.
 */

/** The prefix of all keys. */
export const ROOT_PREFIX = "fernpond/";

/** The prefix of the live records, which each controller holds in its replica. */
export const LIVE_PREFIX = `${ROOT_PREFIX}live/`;

/** A key that is never written: reading it returns only the state store's revision. */
export const ABSENT_KEY = `${ROOT_PREFIX}none`;

/** The keys of single records. */
export const keys = {
  /**
   * The leader: written by the controller that acquires leadership, removed by it when it resigns, or by the state
   * store when its membership lease expires.
   */
  leader: `${LIVE_PREFIX}leader`,
  /**
   * The running process of a controller: written by it when it acquires its membership lease, removed by the state
   * store when that lease expires.
   */
  member: (node: string) => `${LIVE_PREFIX}members/${node}`,
  /**
   * The owner of a shard; the record's version is the shard's fencing token. Written by the leader on assignment
   * and by the owner on a hand-over, on a token advance and after its own restart; never removed.
   */
  shard: (shard: number) => `${LIVE_PREFIX}shards/${shard}`,
  /**
   * A job that has not ended: written by the controller that accepts it and by the shard owner that migrates it,
   * removed by the shard owner that completes it or by the controller that cancels it.
   */
  job: (id: string) => `${LIVE_PREFIX}jobs/${id}`,
  /** Completed tasks of many small jobs of a shard: rewritten repeatedly by the shard's owner, never removed. */
  completedTasksPage: (shard: number, page: number) => `${LIVE_PREFIX}done/${shard}/${page}`,
  /**
   * Completed tasks of a part of one large job: written by the shard's owner, removed by it after the job has ended.
   */
  completedTasksChunk: (id: string, chunk: number) => `${LIVE_PREFIX}done/${id}/${chunk}`,
  /**
   * Machines of one shard that were rented or registered together: written by the leader, and by the shard's owner when
   * it drains or transfers machines; removed with the last machine of the group.
   */
  machineGroup: (name: string) => `${LIVE_PREFIX}machines/${name}`,
  /**
   * Written by the leader in each transaction that creates the first record of machines, so that only one of two
   * concurrent transactions can succeed; never removed.
   */
  machineRegistration: `${LIVE_PREFIX}registration`,
  /**
   * The part of a team's quota that a shard reserves for a job that has migrated to another shard: written by the job's
   * former owner in the migration, removed after the job has ended.
   */
  quotaReservation: (shard: number, job: string) => `${LIVE_PREFIX}quota/${shard}/${job}`,
  /** A rental order: written by the leader before it calls the cloud, removed by a leader once the outcome is known. */
  rentalOrder: (name: string) => `${LIVE_PREFIX}orders/${name}`,
  /** A shard's unmet demand: written by its owner when the leader does not respond to it; never removed. */
  shardDemand: (shard: number) => `${LIVE_PREFIX}demand/${shard}`,
  /** A machine type of the cloud's catalogue: written by the leader, never removed. */
  machineType: (name: string) => `${LIVE_PREFIX}types/${encodeURIComponent(name)}`,
  /** The outcome of an ended job: written in the transaction that removes the job's record, never removed. */
  endedJob: (id: string) => `${ROOT_PREFIX}ended/${id}`,
};

/** Key prefixes, one for each kind of record. */
export const prefixes = {
  /** Prefix of `keys.member`. */
  members: `${LIVE_PREFIX}members/`,
  /** Prefix of `keys.shard`. */
  shards: `${LIVE_PREFIX}shards/`,
  /** Prefix of `keys.job`. */
  jobs: `${LIVE_PREFIX}jobs/`,
  /** Prefix of `keys.completedTasksPage` and `keys.completedTasksChunk`. */
  completedTasks: `${LIVE_PREFIX}done/`,
  /** Prefix of `keys.machineGroup`. */
  machineGroups: `${LIVE_PREFIX}machines/`,
  /** Prefix of `keys.rentalOrder`. */
  rentalOrders: `${LIVE_PREFIX}orders/`,
  /** Prefix of `keys.quotaReservation` for one shard. */
  quotaReservations: (shard: number) => `${LIVE_PREFIX}quota/${shard}/`,
  /** Prefix of `keys.machineType`. */
  machineTypes: `${LIVE_PREFIX}types/`,
  /** Prefix of `keys.endedJob`. */
  endedJobs: `${ROOT_PREFIX}ended/`,
};
