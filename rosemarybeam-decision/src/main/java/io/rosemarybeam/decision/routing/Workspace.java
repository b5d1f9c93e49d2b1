package io.rosemarybeam.decision.routing;

import java.util.Objects;
import java.util.OptionalInt;

import io.rosemarybeam.common.id.WorkspaceName;

/**
 * A workspace of the configuration, without its keys. Immutable and safe for use by several threads.
 *
 * @param name its name
 * @param priority priority of its requests, which takes precedence over that of the route; empty if it has none; 0 is the highest
 */
public record Workspace(WorkspaceName name, OptionalInt priority) {
    public Workspace {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
    }
}
