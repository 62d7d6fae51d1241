/**
 * The keys of all records in the state store. Live records lie under one prefix, which each controller lists completely
 * when it starts; records of ended jobs lie outside it, and only their changes are followed. One watch covers both, in
 * one order.
 */

/** The prefix of every record. */
export const ROOT_PREFIX = "fernpond/";

/** The prefix of the records that each controller holds in its replica. */
export const LIVE_PREFIX = `${ROOT_PREFIX}live/`;

/** A key that is never written: a read of it returns the state store's revision and nothing else. */
export const ABSENT_KEY = `${ROOT_PREFIX}none`;

/** The keys of single records. */
export const keys = {
  /**
   * Which controller leads: written by it when it acquires leadership, removed when it resigns or, by the state store,
   * when its membership lease ends.
   */
  leader: `${LIVE_PREFIX}leader`,
  /**
   * The running process of a controller: written by it when it acquires its membership lease, removed by the state store
   * when that lease ends.
   */
  member: (node: string) => `${LIVE_PREFIX}members/${node}`,
  /**
   * The owner of a shard; the record's version is the shard's fencing token. Written by the leader at an assignment and
   * by the owner at a hand-over, a token advance or after its own restart; never removed.
   */
  shard: (shard: number) => `${LIVE_PREFIX}shards/${shard}`,
  /**
   * A job that has not ended: written by the controller that accepts it and by the owner that migrates it, removed by the
   * owner that completes it or by the controller that cancels it.
   */
  job: (id: string) => `${LIVE_PREFIX}jobs/${id}`,
  /** Completed tasks of many small jobs of a shard: written by its owner again and again, never removed. */
  completedTasksPage: (shard: number, page: number) => `${LIVE_PREFIX}done/${shard}/${page}`,
  /** Completed tasks of a part of one large job: written by the shard's owner, and removed by it after the job's end. */
  completedTasksChunk: (id: string, chunk: number) => `${LIVE_PREFIX}done/${id}/${chunk}`,
  /**
   * Machines of one shard that were rented or registered together: written by the leader, and by the shard's owner when it
   * drains or transfers machines; removed with the last machine in it.
   */
  machineGroup: (name: string) => `${LIVE_PREFIX}machines/${name}`,
  /**
   * Written by the leader with each registration of machines that no rental order brought, so that only one of two such
   * transactions can succeed; never removed.
   */
  machineRegistration: `${LIVE_PREFIX}registration`,
  /**
   * What a shard keeps free of a team's quota for a job that has migrated to another shard: written by the former owner
   * with the migration, removed after the job's end.
   */
  quotaReservation: (shard: number, job: string) => `${LIVE_PREFIX}quota/${shard}/${job}`,
  /** A rental order: written by the leader before it calls the cloud, removed by a leader once the outcome is known. */
  rentalOrder: (name: string) => `${LIVE_PREFIX}orders/${name}`,
  /** A shard's unmet demand: written by its owner when the leader does not answer it; never removed. */
  shardDemand: (shard: number) => `${LIVE_PREFIX}demand/${shard}`,
  /** A machine type of the cloud's catalogue: written by the leader, never removed. */
  machineType: (name: string) => `${LIVE_PREFIX}types/${encodeURIComponent(name)}`,
  /** How a job has ended: written in the transaction that removes the job's record, never removed. */
  endedJob: (id: string) => `${ROOT_PREFIX}ended/${id}`,
};

/** The prefixes of kinds of records. */
export const prefixes = {
  /** Of `keys.member`. */
  members: `${LIVE_PREFIX}members/`,
  /** Of `keys.shard`. */
  shards: `${LIVE_PREFIX}shards/`,
  /** Of `keys.job`. */
  jobs: `${LIVE_PREFIX}jobs/`,
  /** Of `keys.completedTasksPage` and `keys.completedTasksChunk`. */
  completedTasks: `${LIVE_PREFIX}done/`,
  /** Of `keys.machineGroup`. */
  machineGroups: `${LIVE_PREFIX}machines/`,
  /** Of `keys.rentalOrder`. */
  rentalOrders: `${LIVE_PREFIX}orders/`,
  /** Of a shard's `keys.quotaReservation`. */
  quotaReservations: (shard: number) => `${LIVE_PREFIX}quota/${shard}/`,
  /** Of `keys.machineType`. */
  machineTypes: `${LIVE_PREFIX}types/`,
  /** Of `keys.endedJob`. */
  endedJobs: `${ROOT_PREFIX}ended/`,
};
