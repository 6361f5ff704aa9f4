/** Constants in which the planner by capacity measures what a load gains and costs. */

/**
 * How long the present demand is assumed to last. A load from the weight store takes up to 8.6 s, and demand that has lasted for several seconds
 * mostly stays for about another load time, so that such a load is credited with some 11 s of requests.
 */
export const DEMAND_HORIZON_MS = 20_000
/** Worth of a late request relative to one in time. */
export const LATE_SHARE = 0.3
/** Time within which waiting requests have to be served; clients abort a stream after 2 s without an event at the earliest. */
export const BACKLOG_DRAIN_MS = 2_000
