/** Health checks by the users' load balancer: section "Users -> controller nodes" of the protocol. */

/** The approximate interval at which the load balancer sends `GET /up` to each controller, in seconds. */
export const HEALTH_CHECK_S = 1;
