package io.rosemarybeam.replay;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of a trace. All times are in milliseconds since the start of the trace. Immutable and safe for use by several
 * threads.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.Configuration.class, name = "configuration"),
    @JsonSubTypes.Type(value = TraceEvent.Endpoints.class, name = "endpoints"),
    @JsonSubTypes.Type(value = TraceEvent.EndpointLeave.class, name = "endpointLeave"),
    @JsonSubTypes.Type(value = TraceEvent.LoadLag.class, name = "loadLag"),
    @JsonSubTypes.Type(value = TraceEvent.Arrival.class, name = "arrival"),
    @JsonSubTypes.Type(value = TraceEvent.Arrivals.class, name = "arrivals"),
    @JsonSubTypes.Type(value = TraceEvent.Step.class, name = "step"),
    @JsonSubTypes.Type(value = TraceEvent.Weights.class, name = "weights"),
    @JsonSubTypes.Type(value = TraceEvent.EndpointCrash.class, name = "endpointCrash"),
    @JsonSubTypes.Type(value = TraceEvent.EndpointSilence.class, name = "endpointSilence"),
    @JsonSubTypes.Type(value = TraceEvent.EndpointSlowdown.class, name = "endpointSlowdown"),
    @JsonSubTypes.Type(value = TraceEvent.PartialSwap.class, name = "partialSwap"),
    @JsonSubTypes.Type(value = TraceEvent.CacheGap.class, name = "cacheGap"),
    @JsonSubTypes.Type(value = TraceEvent.EntryPause.class, name = "entryPause"),
    @JsonSubTypes.Type(value = TraceEvent.LeaseLoss.class, name = "leaseLoss"),
    @JsonSubTypes.Type(value = TraceEvent.ControlOutage.class, name = "controlOutage"),
    @JsonSubTypes.Type(value = TraceEvent.BodyLoss.class, name = "bodyLoss"),
    @JsonSubTypes.Type(value = TraceEvent.TrainerRestart.class, name = "trainerRestart"),
    @JsonSubTypes.Type(value = TraceEvent.PoisonedRequest.class, name = "poisonedRequest"),
    @JsonSubTypes.Type(value = TraceEvent.Outcome.class, name = "outcome")
})
sealed interface TraceEvent {
    /** Returns the time of the event. */
    long at();

    private static void check(boolean valid, String rule) {
        if (!valid) {
            throw new IllegalArgumentException(rule);
        }
    }

    private static int orDefault(Integer value, int byDefault) {
        return value == null ? byDefault : value;
    }

    // Configuration and endpoints.

    /** Activates an operator configuration, given as its JSON text. */
    record Configuration(long at, JsonNode text) implements TraceEvent {
        public Configuration {
            Objects.requireNonNull(text, "text is missing");
        }
    }

    /**
     * Announces endpoints with equal properties. Their ids consist of the service and a number; they are assigned to the
     * failure domains round-robin.
     *
     * @param capacity maximum number of concurrent streams
     * @param fencing whether the endpoints check fencing numbers
     * @param tokensPerSecond rate of a single stream
     * @param batchSlowdown relative slowdown of each stream per further stream
     * @param swapMilliseconds how long loading weights takes; zero for plain services
     * @param version the loaded weight version; null for plain services
     */
    record Endpoints(
            long at,
            String service,
            int count,
            List<String> failureDomains,
            int capacity,
            boolean fencing,
            double tokensPerSecond,
            double batchSlowdown,
            long swapMilliseconds,
            Long version)
            implements TraceEvent {
        public Endpoints {
            Objects.requireNonNull(service, "service is missing");
            failureDomains = List.copyOf(failureDomains);
            check(count > 0 && capacity > 0 && tokensPerSecond > 0, "count, capacity and tokensPerSecond are positive");
            check(batchSlowdown >= 0 && swapMilliseconds >= 0, "batchSlowdown and swapMilliseconds are not negative");
            check(!failureDomains.isEmpty(), "failureDomains names at least one domain");
        }
    }

    /** An endpoint announces that it is leaving. */
    record EndpointLeave(long at, String endpoint) implements TraceEvent {}

    /** Sets the delay of load and cache reports. */
    record LoadLag(long at, long milliseconds) implements TraceEvent {}

    // Requests, steps and weights.

    /** A caller sends one request. */
    record Arrival(long at, String service, int tokens, int promptTokens, String prefix, boolean idempotent)
            implements TraceEvent {
        public Arrival {
            Objects.requireNonNull(service, "service is missing");
            Objects.requireNonNull(prefix, "prefix is missing");
            check(tokens > 0 && promptTokens >= 0, "tokens is positive and promptTokens is not negative");
        }
    }

    /**
     * Callers send requests with exponentially distributed intervals. Keyed requests are not idempotent, but have an
     * idempotency key.
     */
    record Arrivals(
            long at,
            String service,
            long durationMilliseconds,
            double perSecond,
            int meanTokens,
            int maximumTokens,
            int promptTokens,
            int prefixes,
            double keyedShare)
            implements TraceEvent {
        public Arrivals {
            Objects.requireNonNull(service, "service is missing");
            check(durationMilliseconds > 0 && perSecond > 0, "durationMilliseconds and perSecond are positive");
            check(meanTokens > 0 && maximumTokens >= meanTokens, "meanTokens is positive and at most maximumTokens");
            check(prefixes > 0 && keyedShare >= 0 && keyedShare <= 1, "prefixes is positive, keyedShare is 0 to 1");
        }
    }

    /** A trainer opens steps; the number of the repetition is appended to the name of the step. */
    record Step(
            long at,
            String trainer,
            String step,
            String service,
            int groups,
            int samplesPerGroup,
            int meanTokens,
            int maximumTokens,
            Integer repeat,
            Long everyMilliseconds)
            implements TraceEvent {
        public Step {
            Objects.requireNonNull(trainer, "trainer is missing");
            Objects.requireNonNull(step, "step is missing");
            Objects.requireNonNull(service, "service is missing");
            check(groups > 0 && samplesPerGroup > 0, "groups and samplesPerGroup are positive");
            check(meanTokens > 0 && maximumTokens >= meanTokens, "meanTokens is positive and at most maximumTokens");
            repeat = orDefault(repeat, 1);
            check(repeat == 1 || everyMilliseconds != null, "repeat needs everyMilliseconds");
        }
    }

    /** A trainer publishes weights; each repetition increments the version. */
    record Weights(long at, String trainer, String service, long version, Integer repeat, Long everyMilliseconds)
            implements TraceEvent {
        public Weights {
            Objects.requireNonNull(trainer, "trainer is missing");
            Objects.requireNonNull(service, "service is missing");
            repeat = orDefault(repeat, 1);
            check(repeat == 1 || everyMilliseconds != null, "repeat needs everyMilliseconds");
        }
    }

    // Faults that the replay injects.

    /** An endpoint crashes and restarts. */
    record EndpointCrash(long at, String endpoint, long restartAfterMilliseconds) implements TraceEvent {}

    /** All open streams of an endpoint stop sending forever, without an error; new ones work. */
    record EndpointSilence(long at, String endpoint) implements TraceEvent {}

    /** An endpoint is slow for a while. */
    record EndpointSlowdown(long at, String endpoint, double factor, long durationMilliseconds) implements TraceEvent {
        public EndpointSlowdown {
            check(factor >= 1, "factor is at least 1");
        }
    }

    /** The next weight swap of an endpoint fails partway. */
    record PartialSwap(long at, String endpoint) implements TraceEvent {}

    /** The next cache report of an endpoint is lost. */
    record CacheGap(long at, String endpoint) implements TraceEvent {}

    /** The entry process is paused, as by a long garbage collection. */
    record EntryPause(long at, long durationMilliseconds) implements TraceEvent {}

    /** The entry cannot renew its lease. */
    record LeaseLoss(long at, long durationMilliseconds) implements TraceEvent {}

    /** No control process answers. */
    record ControlOutage(long at, long durationMilliseconds) implements TraceEvent {}

    /** The entry host that owns all steps is replaced, and the peers have lost this share of the sample bodies. */
    record BodyLoss(long at, double share) implements TraceEvent {
        public BodyLoss {
            check(share >= 0 && share <= 1, "share is 0 to 1");
        }
    }

    /** A trainer restarts and reads from its last acknowledged cursor. */
    record TrainerRestart(long at, String trainer) implements TraceEvent {}

    /** A caller repeatedly sends a request that crashes each endpoint that runs it. */
    record PoisonedRequest(long at, String service, int sendings, long everyMilliseconds) implements TraceEvent {}

    // Expected outcomes.

    /** Sets a bound for a measure at the end of the trace. */
    record Outcome(long at, String measure, Double atMost, Double atLeast) implements TraceEvent {
        public Outcome {
            Objects.requireNonNull(measure, "measure is missing");
            check((atMost == null) != (atLeast == null), "exactly one of atMost and atLeast is given");
        }
    }
}
