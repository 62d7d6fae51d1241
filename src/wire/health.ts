/** Health checks by the users' load balancer: section "Users -> controller nodes" of the protocol. */

/** About how often the load balancer sends `GET /up` to every controller, in seconds. */
export const HEALTH_CHECK_S = 1;
