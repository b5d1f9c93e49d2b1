package io.rosemarybeam.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import io.rosemarybeam.common.id.WorkspaceName;

/**
 * The workspaces of a configuration and the keys of their callers.
 *
 * <p>Invariant: a key belongs to one workspace, and no text of this object contains a key. Immutable and safe for use by several
 * threads.
 */
public final class Workspaces {
    private final Map<String, Workspace> byKey;
    private final Map<WorkspaceName, Workspace> byName;

    private Workspaces(Map<String, Workspace> byKey, Map<WorkspaceName, Workspace> byName) {
        this.byKey = byKey;
        this.byName = byName;
    }

    /**
     * Finds the workspace of a caller.
     *
     * @param key the key that the caller sent
     * @return its workspace, or empty if no workspace has the key
     */
    public Optional<Workspace> ofKey(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Returns a workspace by its name. A stored submission may belong to a workspace that the configuration no longer has.
     *
     * @param name the name
     * @return the workspace; without a priority if the configuration does not have it
     */
    public Workspace named(WorkspaceName name) {
        Workspace known = byName.get(name);
        return known == null ? new Workspace(name, OptionalInt.empty()) : known;
    }

    /**
     * Returns the number of workspaces.
     *
     * @return the number
     */
    public int size() {
        return byName.size();
    }

    @Override
    public String toString() {
        return "Workspaces" + byName.keySet();
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Collects workspaces and their keys. Confined to one thread. */
    public static final class Builder {
        private final Map<String, Workspace> byKey = new HashMap<>();
        private final Map<WorkspaceName, Workspace> byName = new HashMap<>();

        private Builder() {}

        /**
         * Adds a workspace.
         *
         * @param workspace the workspace
         * @return false if there is one with its name, which then stays
         */
        public boolean add(Workspace workspace) {
            return byName.putIfAbsent(workspace.name(), workspace) == null;
        }

        /**
         * Adds a key of a workspace.
         *
         * @param key the key
         * @param workspace its workspace
         * @return another workspace that has the key already; empty if the key was added or is listed twice by its workspace
         */
        public Optional<Workspace> addKey(String key, Workspace workspace) {
            Workspace former = byKey.putIfAbsent(key, workspace);
            return Optional.ofNullable(former).filter(other -> !other.name().equals(workspace.name()));
        }

        /**
         * Builds the workspaces.
         *
         * @return the workspaces
         */
        public Workspaces build() {
            return new Workspaces(Map.copyOf(byKey), Map.copyOf(byName));
        }
    }
}
