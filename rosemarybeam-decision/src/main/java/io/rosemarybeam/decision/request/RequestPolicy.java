package io.rosemarybeam.decision.request;

/** Policies of the request core, each of which can be disabled to compare it with a baseline. */
public enum RequestPolicy {
    /** Selects the endpoint with the least estimated load; otherwise endpoints are selected round-robin. */
    LEAST_LOAD,
    /** Adds the load of other entries, estimated from the load reports of endpoints, to the own counts. */
    LOAD_REPORTS,
    /** Prefers endpoints that have a prefix of the prompt cached. */
    PREFIX_AFFINITY,
    /** Adds a cost to endpoints in other failure domains. */
    FAILURE_DOMAIN_COST,
    /** Ejects slow and failing endpoints from load balancing. */
    EJECTION,
    /** Refuses requests early that cannot meet their deadline. */
    SHEDDING,
    /** Cancels training attempts when customers wait. */
    PREEMPTION,
    /** Reserves a part of the capacity for customers. */
    CUSTOMER_RESERVE,
    /** Limits repeated attempts to a share of the requests. */
    RETRY_BUDGET,
    /** Shares the endpoints between trainers by weight. */
    FAIR_SHARING
}
