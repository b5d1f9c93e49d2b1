package io.rosemarybeam.forward;

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
 * each host that connects, so that it survives those. An origin that no host knows is derived only if the route has one service
 * with a single software version, as far as a host in touch with all store hosts can tell; otherwise it is unknown. Hosts that
 * have just started are asked again while the caller can wait. Confined to one event loop.
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
         * @param request id of the caller's attempt that brought the first event
         * @param onResult called once, on the event loop
         */
        void find(String request, Consumer<SearchResult> onResult);

        /**
         * Schedules a task on the event loop.
         *
         * @param task the task
         * @param delay delay, in milliseconds
         */
        void schedule(Runnable task, long delay);

        /** Returns whether this host has recent contact with all store hosts, so that it knows all endpoints. */
        boolean knowsAllEndpoints();
    }

    /**
     * What other hosts know of a stream. Immutable.
     *
     * @param origin the origin, or empty if no host that answered knows it
     * @param isCertain whether a host would know it if the stream had begun at any host that is left; false while all hosts that
     *     answered have just started and still collect what the others know
     */
    public record SearchResult(Optional<StreamOrigin> origin, boolean isCertain) {}

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
            public void find(String request, Consumer<SearchResult> onResult) {
                onResult.accept(new SearchResult(Optional.empty(), true));
            }

            @Override
            public void schedule(Runnable task, long delay) {
                throw new IllegalStateException("a certain result needs no further search");
            }

            @Override
            public boolean knowsAllEndpoints() {
                return knowsAllEndpoints.getAsBoolean();
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
     * @param onResult called once, possibly before this method returns; empty if the stream must not go on
     */
    void find(String request, List<ServiceName> services, long waitUntil, Consumer<Optional<StreamOrigin>> onResult) {
        Optional<StreamOrigin> known = table.find(request);
        if (known.isPresent()) {
            onResult.accept(known);
        } else if (request.isEmpty()) {
            onResult.accept(onlyVersion(request, services));
        } else {
            remote.find(request, result -> {
                Optional<StreamOrigin> found = result.origin().or(() -> onlyVersion(request, services));
                boolean isFinal = found.isPresent() || result.isCertain();
                if (isFinal || Forwarder.now() + REPEAT_MILLISECONDS > waitUntil) {
                    onResult.accept(found);
                } else {
                    remote.schedule(() -> find(request, services, waitUntil, onResult), REPEAT_MILLISECONDS);
                }
            });
        }
    }

    private Optional<StreamOrigin> onlyVersion(String request, List<ServiceName> services) {
        if (services.size() != 1 || !remote.knowsAllEndpoints()) {
            return Optional.empty();
        }
        ServiceName service = services.getFirst();
        Set<String> versions = directory.softwareVersions(service);
        return versions.size() == 1
                ? Optional.of(
                        new StreamOrigin(request, service, versions.iterator().next()))
                : Optional.empty();
    }
}
