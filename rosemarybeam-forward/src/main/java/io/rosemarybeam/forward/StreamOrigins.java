package io.rosemarybeam.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.StreamOriginTable;

/**
 * Finds out what began a stream that a caller resumes, here or at another host.
 *
 * <p>Invariant: the origin of a stream that begins here is published at once, so that it survives this process, and again to
 * each host that connects, so that it survives those. An origin that no host knows is derived only if the route has one service,
 * and no second software version of it has served since before the start of this process, as all store hosts state; what this
 * process has heard since then is no proof. Otherwise the origin is unknown. Hosts that have just started are asked again while
 * the caller can wait. Confined to one event loop.
 */
public final class StreamOrigins {
    /** Delay before other hosts are asked again, in milliseconds; a round trip takes about 10. */
    private static final long REPEAT_MILLISECONDS = 50;

    private final StreamOriginTable table = new StreamOriginTable();
    private final EndpointDirectory directory;
    private final Remote remote;

    /** The knowledge of other hosts. */
    public interface Remote {
        /**
         * Sends an origin to other hosts.
         *
         * @param origin the origin
         */
        void publish(StreamOrigin origin);

        /**
         * Asks other hosts for an origin.
         *
         * @param request id of the caller's attempt that brought the first event; empty if the caller did not name it
         * @param services the services of the route
         * @param onResult called once, on the event loop
         */
        void find(String request, List<ServiceName> services, Consumer<SearchResult> onResult);

        /**
         * Schedules a task on the event loop.
         *
         * @param task the task
         * @param delay delay, in milliseconds
         */
        void schedule(Runnable task, long delay);
    }

    /**
     * What other hosts know of a stream. Immutable.
     *
     * @param origin the origin, or empty if no host that answered knows it
     * @param isCertain whether a host would know it if the stream had begun at any host that is left; false while all hosts that
     *     answered have just started and still collect what the others know
     * @param versions all software versions of the route's only service that served lately; empty if there may be others
     */
    public record SearchResult(Optional<StreamOrigin> origin, boolean isCertain, Optional<Set<String>> versions) {}

    /** How the origin of a stream was found. */
    public enum Basis {
        /** A host recorded it when the stream began. */
        RECORDED,
        /** The service had one software version only. */
        ONLY_VERSION,
        /** It is not known. */
        UNKNOWN
    }

    /**
     * The outcome of a search. Immutable.
     *
     * @param origin the origin; empty if the stream must not go on
     * @param basis how it was found
     */
    public record Finding(Optional<StreamOrigin> origin, Basis basis) {}

    /**
     * Creates an instance without origins.
     *
     * @param directory the known endpoints
     * @param remote the knowledge of other hosts
     */
    public StreamOrigins(EndpointDirectory directory, Remote remote) {
        this.directory = directory;
        this.remote = remote;
    }

    /**
     * Creates an instance for a process that serves no streams of callers, and so knows none of other hosts.
     *
     * @param directory the known endpoints
     * @param knowsAllEndpoints whether the directory has all endpoints
     * @return the instance
     */
    public static StreamOrigins local(EndpointDirectory directory, BooleanSupplier knowsAllEndpoints) {
        return new StreamOrigins(directory, new Remote() {
            @Override
            public void publish(StreamOrigin origin) {
                // No other host may resume the stream.
            }

            @Override
            public void find(String request, List<ServiceName> services, Consumer<SearchResult> onResult) {
                Optional<Set<String>> versions =
                        knowsAllEndpoints.getAsBoolean() ? Optional.of(Set.of()) : Optional.empty();
                onResult.accept(new SearchResult(Optional.empty(), true, versions));
            }

            @Override
            public void schedule(Runnable task, long delay) {
                throw new IllegalStateException("a certain result needs no further search");
            }
        });
    }

    /**
     * Records what began a stream.
     *
     * @param origin the origin
     * @param resumableUntil monotonic time after which the caller does not resume the stream, in milliseconds
     */
    void record(StreamOrigin origin, long resumableUntil) {
        table.add(origin, resumableUntil);
        remote.publish(origin);
    }

    /**
     * Returns the origins of the streams that began here and may still be resumed, for a host that has just connected.
     *
     * @return the origins
     */
    public List<StreamOrigin> resumable() {
        return table.resumable(Forwarder.now());
    }

    /**
     * Finds the origin of a stream.
     *
     * @param request id of the attempt that brought the first event; empty if the caller did not name it
     * @param services the services of the route
     * @param waitUntil monotonic time until which the caller can wait, in milliseconds
     * @param onResult called once, possibly before this method returns
     */
    void find(String request, List<ServiceName> services, long waitUntil, Consumer<Finding> onResult) {
        Optional<StreamOrigin> known = table.find(request);
        if (known.isPresent()) {
            onResult.accept(new Finding(known, Basis.RECORDED));
            return;
        }
        remote.find(request, services, result -> {
            Finding finding = evaluate(request, services, result);
            boolean isFinal = finding.origin().isPresent() || result.isCertain();
            if (isFinal || Forwarder.now() + REPEAT_MILLISECONDS > waitUntil) {
                onResult.accept(finding);
            } else {
                remote.schedule(() -> find(request, services, waitUntil, onResult), REPEAT_MILLISECONDS);
            }
        });
    }

    private Finding evaluate(String request, List<ServiceName> services, SearchResult result) {
        if (result.origin().isPresent()) {
            return new Finding(result.origin(), Basis.RECORDED);
        }
        return result.versions()
                .filter(ignored -> services.size() == 1)
                .flatMap(versions -> onlyVersion(services.getFirst(), versions))
                .map(version -> new StreamOrigin(request, services.getFirst(), version))
                .map(origin -> new Finding(Optional.of(origin), Basis.ONLY_VERSION))
                .orElse(new Finding(Optional.empty(), Basis.UNKNOWN));
    }

    private Optional<String> onlyVersion(ServiceName service, Set<String> heardElsewhere) {
        Set<String> versions = new HashSet<>(heardElsewhere);
        versions.addAll(directory.softwareVersions(service));
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }
}
