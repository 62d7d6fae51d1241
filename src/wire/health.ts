/** Health checks by the users' load balancer. */

/** About how often the load balancer asks every controller whether it is up, in seconds. */
export const HEALTH_CHECK_S = 1;
