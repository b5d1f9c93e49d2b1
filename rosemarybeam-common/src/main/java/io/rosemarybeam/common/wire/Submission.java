package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;

/**
 * A batch of generations that a trainer submits at once.
 *
 * <p>Invariant: the order of the items never changes. Immutable, provided that arrays are not changed, and safe for use
 * by several threads.
 *
 * @param id the submission
 * @param host host name of its route
 * @param routePath path that selected its route
 * @param step number of the training step, starting at 0
 * @param model the model that generates; empty if only the items determine it
 * @param oldestVersion oldest weight version that may generate
 * @param wantedGroups complete groups that the trainer waits for
 * @param items the generations
 * @param workspace the workspace whose key submitted it; empty if there was none, or an older sender omits it
 */
public record Submission(
        SubmissionId id,
        String host,
        String routePath,
        long step,
        Optional<ModelName> model,
        long oldestVersion,
        int wantedGroups,
        List<Item> items,
        Optional<WorkspaceName> workspace) {
    public Submission {
        Objects.requireNonNull(id, "id");
        model = model == null ? Optional.empty() : model;
        items = List.copyOf(items);
        workspace = workspace == null ? Optional.empty() : workspace;
    }

    /** Creates a submission that belongs to no workspace, with the first parameters of the record. */
    public Submission(
            SubmissionId id,
            String host,
            String routePath,
            long step,
            Optional<ModelName> model,
            long oldestVersion,
            int wantedGroups,
            List<Item> items) {
        this(id, host, routePath, step, model, oldestVersion, wantedGroups, items, Optional.empty());
    }

    /**
     * Returns whether callers of a workspace may read and end this submission.
     *
     * @param caller the workspace of the caller's key; empty if callers need no key
     * @return true unless both name a workspace, and the names differ
     */
    public boolean isOpenTo(Optional<WorkspaceName> caller) {
        return workspace.isEmpty() || caller.isEmpty() || workspace.equals(caller);
    }

    /**
     * One generation.
     *
     * @param id the item, which is also the id of its request
     * @param path path of its request
     * @param headers headers of its request
     * @param body body of its request
     * @param tokens prompt tokens plus maximum output tokens
     * @param expectedTokens median of the number of output tokens that the trainer expects; 0 if it states none
     * @param group name of its group, whose items share a prompt; empty if it belongs to none
     * @param scorer the request that scores the text
     */
    public record Item(
            ItemId id,
            String path,
            Map<String, String> headers,
            byte[] body,
            long tokens,
            long expectedTokens,
            String group,
            Optional<Scorer> scorer) {
        public Item {
            Objects.requireNonNull(id, "id");
            headers = Map.copyOf(headers);
            scorer = scorer == null ? Optional.empty() : scorer;
        }
    }

    /**
     * The request that scores a complete text.
     *
     * @param id id of the request
     * @param host host name that selects its route
     * @param path its path
     * @param body its body
     */
    public record Scorer(String id, String host, String path, byte[] body) {}

    /**
     * The outcome of an item; immutable once it is listed.
     *
     * @param item the item
     * @param completed whether the text is complete; otherwise the item was abandoned
     * @param text data of all events in order, separated by line feeds
     * @param versions all weight versions that generated the text
     * @param score the score; empty if the item has no scorer or was abandoned
     */
    public record Result(ItemId item, boolean completed, byte[] text, List<Long> versions, Optional<String> score) {
        public Result {
            Objects.requireNonNull(item, "item");
            versions = versions == null ? List.of() : List.copyOf(versions);
            score = score == null ? Optional.empty() : score;
        }
    }
}
