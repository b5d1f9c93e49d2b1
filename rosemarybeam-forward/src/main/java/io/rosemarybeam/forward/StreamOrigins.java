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
 * <p>Invariant: the origin of a stream that begins here is published at once, so that it survives this process. An origin
 * that no host knows is derived only if the route has one service with a single software version, as far as a host in touch with
 * all store hosts can tell; otherwise it is unknown. Confined to one event loop.
 */
public final class StreamOrigins {
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
         * @param onResult called once, on the event loop, with the origin, or empty if no host knows it
         */
        void find(String request, Consumer<Optional<StreamOrigin>> onResult);

        /** Returns whether this host has recent contact with all store hosts, so that it knows all endpoints. */
        boolean knowsAllEndpoints();
    }

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
            public void find(String request, Consumer<Optional<StreamOrigin>> onResult) {
                onResult.accept(Optional.empty());
            }

            @Override
            public boolean knowsAllEndpoints() {
                return knowsAllEndpoints.getAsBoolean();
            }
        });
    }

    /** Records what began a stream. */
    void record(StreamOrigin origin) {
        table.add(origin);
        remote.publish(origin);
    }

    /**
     * Finds the origin of a stream.
     *
     * @param request id of the attempt that brought the first event; empty if the caller did not name it
     * @param services the services of the route
     * @param onResult called once, possibly before this method returns; empty if the stream must not go on
     */
    void find(String request, List<ServiceName> services, Consumer<Optional<StreamOrigin>> onResult) {
        Optional<StreamOrigin> known = table.find(request);
        if (known.isPresent()) {
            onResult.accept(known);
        } else if (request.isEmpty()) {
            onResult.accept(onlyVersion(request, services));
        } else {
            remote.find(request, found -> onResult.accept(found.or(() -> onlyVersion(request, services))));
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
