package io.rosemarybeam.decision.routing;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import io.rosemarybeam.common.id.ServiceName;

/**
 * How requests of one host name and path prefix are served. Immutable and safe for use by several threads.
 *
 * @param name name of the route
 * @param host host name, in lower case
 * @param pathPrefix start of the path, from slash to slash
 * @param kind what it carries
 * @param resumable whether its streams may be resumed
 * @param singleVersion whether all events of a text must be of one weight version
 * @param timeout longest time that a request is kept waiting
 * @param latencyTarget time within which an answer is worth most
 * @param priority rank among routes; 0 is the highest
 * @param split services that share its requests
 * @param maximumAttempts endpoints to which one request may be sent
 * @param submissionTarget time from a submission to its last result that the trainer expects
 * @param itemTimeout time after which an item of a submission may be given up
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
        Duration itemTimeout) {
    /** Bits of a hash that place an id among the weights. */
    private static final int HASH_MASK = 0xffff;

    /**
     * The part of a service in the requests of a route.
     *
     * @param service the service
     * @param weight its part relative to the sum of all weights
     */
    public record Share(ServiceName service, double weight) {}

    /** Copies the list and checks that the components are present. */
    public Route {
        Objects.requireNonNull(kind, "kind");
        split = List.copyOf(split);
    }

    /**
     * Returns whether a request that may have run may run again.
     *
     * @return true if a second run does no harm
     */
    public boolean isRepeatable() {
        return kind.isRepeatable() || resumable;
    }

    /**
     * Chooses a service by weight.
     *
     * @param point a number from 0 (inclusive) to 1 (exclusive)
     * @return the service in whose part the point lies
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
     * Returns the service that runs a request, the same one each time it is sent.
     *
     * @param id the id of the request
     * @return one of the services, chosen by their weights
     */
    public ServiceName serviceFor(String id) {
        return serviceAt((id.hashCode() & HASH_MASK) / (HASH_MASK + 1.0));
    }

    /**
     * Returns a builder.
     *
     * @return a new builder
     */
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

        private Builder() {}

        /**
         * Sets what selects the route.
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
         * Sets what the route carries.
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
         * Sets whether a text must be of one weight version.
         *
         * @param value whether it must
         * @return this builder
         */
        public Builder singleVersion(boolean value) {
            singleVersion = value;
            return this;
        }

        /**
         * Sets the times of a request.
         *
         * @param longest longest time that it is kept waiting
         * @param wanted time within which an answer is worth most
         * @return this builder
         */
        public Builder requestTimes(Duration longest, Duration wanted) {
            timeout = longest;
            latencyTarget = wanted;
            return this;
        }

        /**
         * Sets the times of a submission.
         *
         * @param wanted time to its last result
         * @param kept time after which an item may be given up
         * @return this builder
         */
        public Builder submissionTimes(Duration wanted, Duration kept) {
            submissionTarget = wanted;
            itemTimeout = kept;
            return this;
        }

        /**
         * Sets the rank.
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
         * @param shares services and their parts
         * @return this builder
         */
        public Builder split(List<Share> shares) {
            split = shares;
            return this;
        }

        /**
         * Sets the number of attempts.
         *
         * @param count endpoints to which one request may be sent, at least 1
         * @return this builder
         */
        public Builder maximumAttempts(int count) {
            maximumAttempts = count;
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
                    itemTimeout);
        }
    }
}
