package io.rosemarybeam.common.configuration;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;

/**
 * One service of the operator configuration. Immutable and safe for use by several threads.
 *
 * @param name its name
 * @param serviceClass model service or plain service
 * @param dependsOn services that it calls
 * @param scoringService plain service that scores its samples
 * @param limits its load limits
 * @param deadlines time limits of its requests
 * @param retries its retry limits
 * @param customerReservePercent percentage of each endpoint's capacity that training never uses
 * @param training rules for samples; empty for plain services
 * @param rollout rules for weight swaps; empty for plain services
 * @param idempotentCalls calls of a plain service that may be repeated
 */
public record ServiceConfiguration(
        ServiceName name,
        ServiceClass serviceClass,
        List<ServiceName> dependsOn,
        Optional<ServiceName> scoringService,
        Limits limits,
        Deadlines deadlines,
        Retries retries,
        int customerReservePercent,
        Optional<Training> training,
        Optional<Rollout> rollout,
        List<IdempotentCall> idempotentCalls) {
    public ServiceConfiguration {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(serviceClass, "serviceClass");
        dependsOn = List.copyOf(dependsOn);
        idempotentCalls = List.copyOf(idempotentCalls);
    }

    /** What kind of endpoints a service has. */
    public enum ServiceClass {
        /** Model engines that complete prompts. */
        MODEL,
        /** Plain HTTP services. */
        PLAIN
    }

    /**
     * The load limits of a service.
     *
     * @param maximumConcurrent maximum number of concurrent requests over all entry hosts
     * @param maximumQueued maximum number of queued requests in one entry host
     * @param maximumBodyBytes maximum size of a request body, in bytes
     * @param concurrentPerEndpoint maximum number of concurrent requests on one endpoint
     */
    public record Limits(int maximumConcurrent, int maximumQueued, int maximumBodyBytes, int concurrentPerEndpoint) {}

    /**
     * Time limits of requests, in milliseconds.
     *
     * @param totalMilliseconds maximum time from arrival to the end of the answer
     * @param progressMilliseconds maximum time without any byte from the endpoint
     * @param connectMilliseconds maximum time to open a connection
     */
    public record Deadlines(long totalMilliseconds, long progressMilliseconds, long connectMilliseconds) {}

    /**
     * The retry limits of a service.
     *
     * @param maximumAttempts maximum number of attempts of one request
     * @param budgetPercent maximum number of retries per hundred requests
     */
    public record Retries(int maximumAttempts, int budgetPercent) {}

    /**
     * Rules for samples.
     *
     * @param stalenessBoundVersions maximum number of versions by which a sample may lag behind its trainer
     * @param trainerIdleWeight weight of trainer idle time, 0 to 1
     * @param stalenessWeight weight of staleness, 0 to 1
     * @param trainerShares relative share of the engines, by trainer
     */
    public record Training(
            int stalenessBoundVersions,
            double trainerIdleWeight,
            double stalenessWeight,
            Map<TrainerName, Integer> trainerShares) {
        public Training {
            trainerShares = Map.copyOf(trainerShares);
        }
    }

    /**
     * Rules for weight swaps.
     *
     * @param capacityFloorPercent percentage of the endpoints that remains in service during a rollout
     * @param storeFetchesPerSecond maximum number of load orders per second that the weight store can serve
     */
    public record Rollout(int capacityFloorPercent, int storeFetchesPerSecond) {}

    /**
     * A call of a plain service that may be repeated.
     *
     * @param method HTTP method
     * @param path path within the service; a last segment of two asterisks matches every subpath
     */
    public record IdempotentCall(String method, String path) {
        private static final String SUBPATH_WILDCARD = "/**";

        /**
         * Returns whether a call matches method and path.
         *
         * @param calledMethod HTTP method of the call
         * @param calledPath path of the call without query
         */
        public boolean matches(String calledMethod, String calledPath) {
            if (!method.equals(calledMethod)) {
                return false;
            }
            if (path.endsWith(SUBPATH_WILDCARD)) {
                String prefix = path.substring(0, path.length() - SUBPATH_WILDCARD.length());
                return calledPath.equals(prefix) || calledPath.startsWith(prefix + "/");
            }
            return path.equals(calledPath);
        }
    }

    /**
     * Returns a builder with default limits.
     *
     * @param name name of the service
     * @param serviceClass its class
     */
    public static Builder builder(ServiceName name, ServiceClass serviceClass) {
        return new Builder(name, serviceClass);
    }

    /** Builds a service configuration. Not safe for use by several threads. */
    public static final class Builder {
        /** Concurrent requests, queued requests, body size in bytes and concurrent requests per endpoint. */
        private static final Limits DEFAULT_LIMITS = new Limits(64, 256, 1_048_576, 8);
        /** Total, progress and connect deadline, in milliseconds. */
        private static final Deadlines DEFAULT_DEADLINES = new Deadlines(30_000, 2_000, 500);
        /** Attempts per request and retries per hundred requests. */
        private static final Retries DEFAULT_RETRIES = new Retries(3, 10);

        private static final int DEFAULT_CUSTOMER_RESERVE_PERCENT = 25;

        private final ServiceName name;
        private final ServiceClass serviceClass;
        private List<ServiceName> dependsOn = List.of();
        private Optional<ServiceName> scoringService = Optional.empty();
        private Limits limits = DEFAULT_LIMITS;
        private Deadlines deadlines = DEFAULT_DEADLINES;
        private Retries retries = DEFAULT_RETRIES;
        private int customerReservePercent = DEFAULT_CUSTOMER_RESERVE_PERCENT;
        private Optional<Training> training = Optional.empty();
        private Optional<Rollout> rollout = Optional.empty();
        private List<IdempotentCall> idempotentCalls = List.of();

        private Builder(ServiceName name, ServiceClass serviceClass) {
            this.name = name;
            this.serviceClass = serviceClass;
        }

        public Builder dependsOn(List<ServiceName> services) {
            dependsOn = services;
            return this;
        }

        public Builder scoringService(Optional<ServiceName> service) {
            scoringService = service;
            return this;
        }

        public Builder limits(Limits value) {
            limits = value;
            return this;
        }

        public Builder deadlines(Deadlines value) {
            deadlines = value;
            return this;
        }

        public Builder retries(Retries value) {
            retries = value;
            return this;
        }

        /**
         * Sets the percentage of capacity that training never uses.
         *
         * @param percent 0 to 100
         */
        public Builder customerReservePercent(int percent) {
            customerReservePercent = percent;
            return this;
        }

        public Builder training(Optional<Training> value) {
            training = value;
            return this;
        }

        public Builder rollout(Optional<Rollout> value) {
            rollout = value;
            return this;
        }

        public Builder idempotentCalls(List<IdempotentCall> calls) {
            idempotentCalls = calls;
            return this;
        }

        public ServiceConfiguration build() {
            return new ServiceConfiguration(
                    name,
                    serviceClass,
                    dependsOn,
                    scoringService,
                    limits,
                    deadlines,
                    retries,
                    customerReservePercent,
                    training,
                    rollout,
                    idempotentCalls);
        }
    }
}
