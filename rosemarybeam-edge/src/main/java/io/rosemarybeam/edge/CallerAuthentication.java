package io.rosemarybeam.edge;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.decision.routing.Workspace;
import io.rosemarybeam.decision.routing.Workspaces;
import io.rosemarybeam.platform.WorkspaceHeaders;

/**
 * Decides whether a request is admitted, and for which workspace.
 *
 * <p>Invariants: a configuration without workspaces admits every request without a workspace; a workspace is only found by one of
 * its keys; no decision contains a key. Stateless and safe for use by several threads.
 */
final class CallerAuthentication {
    private CallerAuthentication() {}

    /** The decision on a request. */
    sealed interface Decision {}

    /**
     * The request is admitted.
     *
     * @param workspace the workspace of its key; empty if it has none
     */
    record Admitted(Optional<Workspace> workspace) implements Decision {}

    /**
     * The request is answered 401.
     *
     * @param reason what is wrong with the key, without the key
     */
    record Rejected(String reason) implements Decision {}

    /**
     * Decides on a request of a caller.
     *
     * @param table the configuration in force
     * @param route the route of the request; empty if it has none, so that it is not public
     * @param headers headers of the request, as the caller sent them
     * @return the decision
     */
    static Decision authenticate(RoutingTable table, Optional<Route> route, HttpHeaders headers) {
        if (table.workspaces().isEmpty()) {
            return new Admitted(Optional.empty());
        }
        Optional<String> key = WorkspaceHeaders.key(headers);
        Optional<Workspace> workspace = key.flatMap(table.workspaces().get()::ofKey);
        boolean isAdmitted =
                workspace.isPresent() || route.filter(Route::isPublic).isPresent();
        return isAdmitted ? new Admitted(workspace) : new Rejected(key.isPresent() ? "unknown key" : "no key");
    }

    /**
     * Returns the workspace of a request that another edge has handed on, which has checked the key and sent the name. A key
     * shows that the other edge has not: it is of an earlier build, or its configuration has no workspaces. The name is then
     * the caller's own, which counts for nothing.
     *
     * @param table the configuration in force
     * @param headers headers of the request, as the other edge sent them
     * @return the workspace; empty if there is none
     */
    static Optional<Workspace> workspaceOfHandedOn(RoutingTable table, HttpHeaders headers) {
        if (table.workspaces().isEmpty()) {
            return Optional.empty();
        }
        Workspaces workspaces = table.workspaces().get();
        Optional<String> key = WorkspaceHeaders.key(headers);
        return key.isPresent()
                ? key.flatMap(workspaces::ofKey)
                : WorkspaceHeaders.name(headers).map(workspaces::named);
    }

    /**
     * Removes the key and the caller's own name of a workspace, so that nothing behind this edge gets them; without workspaces
     * all headers stay.
     *
     * @param table the configuration in force
     * @param headers headers of the request; changed
     */
    static void removeCredentials(RoutingTable table, HttpHeaders headers) {
        if (table.workspaces().isPresent()) {
            WorkspaceHeaders.remove(headers);
        }
    }
}
