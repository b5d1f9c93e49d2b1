package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.ServiceName;

/**
 * Routes and services of one version of the configuration, indexed for the selection of routes.
 *
 * <p>Invariant: no two routes have the same host and prefix, and every route refers to services of this table; the decoder
 * of the configuration rejects any other. Immutable and safe for use by several threads.
 */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<ServiceName, ServiceDefinition> services;
    private final CallerLimits limits;
    private final Optional<Workspaces> workspaces;

    private RoutingTable(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<ServiceName, ServiceDefinition> services,
            CallerLimits limits,
            Optional<Workspaces> workspaces) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = services;
        this.limits = limits;
        this.workspaces = workspaces;
    }

    /**
     * Returns a table of a configuration without workspaces.
     *
     * @param version version of the configuration
     * @param routes its routes
     * @param services its services
     * @param limits limits on the requests of callers
     * @return the table
     */
    public static RoutingTable of(
            long version, List<Route> routes, List<ServiceDefinition> services, CallerLimits limits) {
        return of(version, routes, services, limits, Optional.empty());
    }

    /**
     * Returns a table.
     *
     * @param version version of the configuration
     * @param routes its routes
     * @param services its services
     * @param limits limits on the requests of callers
     * @param workspaces its workspaces; empty if callers need no key
     * @return the table
     */
    public static RoutingTable of(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            CallerLimits limits,
            Optional<Workspaces> workspaces) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), ignored -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        byHost.values().forEach(list -> list.sort(longestFirst));
        Map<ServiceName, ServiceDefinition> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        return new RoutingTable(version, byHost, byName, limits, workspaces);
    }

    /**
     * Finds the route of a request.
     *
     * @param host the Host header, with or without a port
     * @param uri path and query of the request
     * @return the matching route with the longest path prefix, or empty if none matches
     */
    public Optional<Route> find(String host, String uri) {
        int colon = host.indexOf(':');
        String hostName = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        int question = uri.indexOf('?');
        String path = question < 0 ? uri : uri.substring(0, question);
        return routesByHost.getOrDefault(hostName, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Returns whether requests of callers lead to a service.
     *
     * @param service the service
     * @param other a route whose own requests do not count
     * @return true if another route for single requests without a stream leads to it
     */
    public boolean isUsedByCallers(ServiceName service, Route other) {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.kind() == RouteKind.IDEMPOTENT || route.kind() == RouteKind.NON_IDEMPOTENT)
                .filter(route -> !route.equals(other))
                .anyMatch(route ->
                        route.split().stream().anyMatch(share -> share.service().equals(service)));
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns all routes.
     *
     * @return the routes, in no order
     */
    public List<Route> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Returns the services by name.
     *
     * @return the services
     */
    public Map<ServiceName, ServiceDefinition> services() {
        return services;
    }

    /**
     * Returns the limits on the requests of callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the workspaces, whose keys callers need.
     *
     * @return the workspaces; empty if the configuration has no list of them
     */
    public Optional<Workspaces> workspaces() {
        return workspaces;
    }
}
