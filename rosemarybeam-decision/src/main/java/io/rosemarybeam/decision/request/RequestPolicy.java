package io.rosemarybeam.decision.request;

/** Policies of the request core that can be switched off to compare them with a plain baseline. */
public enum RequestPolicy {
    /** Chooses the endpoint with the least estimated load; otherwise endpoints take turns. */
    LEAST_LOAD,
    /** Corrects own counts by the load reports of endpoints. */
    LOAD_REPORTS,
    /** Prefers endpoints that hold a prefix of the prompt. */
    PREFIX_AFFINITY,
    /** Adds a cost to endpoints in other failure domains. */
    FAILURE_DOMAIN_COST,
    /** Takes slow and failing endpoints out of the choice. */
    EJECTION,
    /** Refuses early what cannot meet its deadline. */
    SHEDDING,
    /** Cancels training attempts when customers wait. */
    PREEMPTION,
    /** Keeps a part of the capacity free of training. */
    CUSTOMER_RESERVE,
    /** Limits repeated attempts to a share of the requests. */
    RETRY_BUDGET,
    /** Shares the engines between trainers by weight. */
    FAIR_SHARING
}
