package io.rosemarybeam.decision.routing;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import io.rosemarybeam.common.id.ServiceName;

/**
 * Configuration of the requests with one host name and path prefix. Immutable and safe for use by several threads.
 *
 * @param name name of the route
 * @param host host name, in lower case
 * @param pathPrefix start of the path; begins and ends with a slash
 * @param kind kind of its requests
 * @param resumable whether its streams may be resumed
 * @param singleVersion whether one weight version must generate all events of a text
 * @param timeout maximum time that a request may wait for its answer
 * @param latencyTarget time within which an answer has its full value
 * @param priority priority among routes; 0 is the highest
 * @param split services among which its requests are split
 * @param maximumAttempts maximum number of endpoints to which one request is sent
 * @param submissionTarget time from a submission to its last result that the trainer expects
 * @param itemTimeout time after which an item of a submission may be abandoned
 * @param isPublic whether its requests need no key, although the configuration has workspaces
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        boolean singleVersion,
        Duration timeout,
        Duration latencyTarget,
        int priority,
        List<Share> split,
        int maximumAttempts,
        Duration submissionTarget,
        Duration itemTimeout,
        boolean isPublic) {
    /** Bits of the hash of a request id that select a service by its weight. */
    private static final int HASH_MASK = 0xffff;

    /**
     * The share of a service in the requests of a route.
     *
     * @param service the service
     * @param weight its share, relative to the sum of all weights
     */
    public record Share(ServiceName service, double weight) {}

    public Route {
        Objects.requireNonNull(kind, "kind");
        split = List.copyOf(split);
    }

    /**
     * Returns whether a request may run again although it may have run already.
     *
     * @return true if a second run has no harmful effect
     */
    public boolean isRepeatable() {
        return kind.isRepeatable() || resumable;
    }

    /**
     * Chooses a service by weight.
     *
     * @param point a number from 0 (inclusive) to 1 (exclusive)
     * @return the service in whose share the point lies
     */
    public ServiceName serviceAt(double point) {
        double total = split.stream().mapToDouble(Share::weight).sum();
        double remaining = point * total;
        for (Share share : split) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return split.getLast().service();
    }

    /**
     * Returns the service that runs a request, the same one each time the request is sent.
     *
     * @param id the id of the request
     * @return one of the services, chosen by weight
     */
    public ServiceName serviceFor(String id) {
        return serviceAt((id.hashCode() & HASH_MASK) / (HASH_MASK + 1.0));
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Collects the components of a route. Confined to one thread. */
    public static final class Builder {
        private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

        private String name = "";
        private String host = "";
        private String pathPrefix = "/";
        private RouteKind kind = RouteKind.NON_IDEMPOTENT;
        private boolean resumable;
        private boolean singleVersion;
        private Duration timeout = DEFAULT_TIMEOUT;
        private Duration latencyTarget = DEFAULT_TIMEOUT;
        private int priority;
        private List<Share> split = List.of();
        private int maximumAttempts = 1;
        private Duration submissionTarget = DEFAULT_TIMEOUT;
        private Duration itemTimeout = DEFAULT_TIMEOUT;
        private boolean isPublic;

        private Builder() {}

        /**
         * Sets the name of the route and the requests that it matches.
         *
         * @param routeName name of the route
         * @param hostName host name
         * @param prefix start of the path
         * @return this builder
         */
        public Builder matching(String routeName, String hostName, String prefix) {
            name = routeName;
            host = hostName;
            pathPrefix = prefix;
            return this;
        }

        /**
         * Sets the kind of the requests.
         *
         * @param routeKind the kind
         * @return this builder
         */
        public Builder kind(RouteKind routeKind) {
            kind = routeKind;
            return this;
        }

        /**
         * Sets whether streams may be resumed.
         *
         * @param value whether they may
         * @return this builder
         */
        public Builder resumable(boolean value) {
            resumable = value;
            return this;
        }

        /**
         * Sets whether one weight version must generate all events of a text.
         *
         * @param value whether it must
         * @return this builder
         */
        public Builder singleVersion(boolean value) {
            singleVersion = value;
            return this;
        }

        /**
         * Sets the timeout and the target of a request.
         *
         * @param maximum maximum time that it may wait for its answer
         * @param target time within which an answer has its full value
         * @return this builder
         */
        public Builder requestTimes(Duration maximum, Duration target) {
            timeout = maximum;
            latencyTarget = target;
            return this;
        }

        /**
         * Sets the target and the timeout of a submission.
         *
         * @param target time to its last result that the trainer expects
         * @param maximum time after which an item may be abandoned
         * @return this builder
         */
        public Builder submissionTimes(Duration target, Duration maximum) {
            submissionTarget = target;
            itemTimeout = maximum;
            return this;
        }

        /**
         * Sets the priority.
         *
         * @param rank 0 is the highest
         * @return this builder
         */
        public Builder priority(int rank) {
            priority = rank;
            return this;
        }

        /**
         * Sets the services.
         *
         * @param shares services and their weights
         * @return this builder
         */
        public Builder split(List<Share> shares) {
            split = shares;
            return this;
        }

        /**
         * Sets the maximum number of attempts.
         *
         * @param count maximum number of endpoints to which one request is sent, at least 1
         * @return this builder
         */
        public Builder maximumAttempts(int count) {
            maximumAttempts = count;
            return this;
        }

        /**
         * Sets whether requests need no key.
         *
         * @param value whether they need none
         * @return this builder
         */
        public Builder isPublic(boolean value) {
            isPublic = value;
            return this;
        }

        /**
         * Builds the route.
         *
         * @return the route
         */
        public Route build() {
            return new Route(
                    name,
                    host,
                    pathPrefix,
                    kind,
                    resumable,
                    singleVersion,
                    timeout,
                    latencyTarget,
                    priority,
                    split,
                    maximumAttempts,
                    submissionTarget,
                    itemTimeout,
                    isPublic);
        }
    }
}
