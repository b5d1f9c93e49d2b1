package io.rosemarybeam.edge;

import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;

/**
 * The end of a submission that a caller of a workspace asked for. Callers of several workspaces may ask for ends under one id, of
 * which a leader carries out at most those of the workspace that submitted it. Immutable and safe for use by several threads.
 *
 * @param submission the submission
 * @param workspace the workspace of the caller's key; empty if callers need no key
 */
record SubmissionEnd(SubmissionId submission, Optional<WorkspaceName> workspace) {
    SubmissionEnd {
        Objects.requireNonNull(submission, "submission");
        Objects.requireNonNull(workspace, "workspace");
    }

    /** Returns the end for a caller without a workspace. */
    static SubmissionEnd of(SubmissionId submission) {
        return new SubmissionEnd(submission, Optional.empty());
    }

    /** Returns whether this end may concern a submission that a caller of a workspace sends under the id. */
    boolean mayConcern(SubmissionId id, Optional<WorkspaceName> owner) {
        return submission.equals(id) && (workspace.isEmpty() || owner.isEmpty() || workspace.equals(owner));
    }
}
