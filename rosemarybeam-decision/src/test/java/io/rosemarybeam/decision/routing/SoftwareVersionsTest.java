package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.ServiceVersion;
import io.rosemarybeam.common.wire.VersionHistory;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a host that takes the versions it has heard of since its start for all that serve. */
class SoftwareVersionsTest {
    private static final ServiceName DESK = ServiceName.of("desk");
    private static final ServiceVersion FIRST = new ServiceVersion(DESK, "v1");
    private static final ServiceVersion SECOND = new ServiceVersion(DESK, "v2");
    private static final VersionHistory NONE = new VersionHistory(List.of(), true);
    private static final long RETENTION = EndpointDirectory.RETENTION_MILLISECONDS;

    @Test
    void shouldNotKnowTheVersionsWhenItStartedWithoutAHistory() {
        SoftwareVersions versions = SoftwareVersions.of(VersionHistory.UNKNOWN, 0);
        versions.record(SECOND, 0);

        assertEquals(Optional.empty(), versions.of(DESK, RETENTION - 1));
        assertEquals(Optional.of(List.of("v2")), versions.of(DESK, RETENTION));
    }

    @Test
    void shouldKnowVersionsFromBeforeItsStartWhenTheyWereRestored() {
        SoftwareVersions former = SoftwareVersions.of(NONE, 0);
        former.record(FIRST, 0);
        SoftwareVersions versions = SoftwareVersions.of(former.history(1), 10);
        versions.record(SECOND, 10);

        assertEquals(Optional.of(List.of("v1", "v2")), versions.of(DESK, 10));
        assertEquals(Optional.of(List.of()), versions.of(ServiceName.of("other"), 10));
    }

    /** A host that was replaced by an empty one learns from the others what it cannot know. */
    @Test
    void shouldBeCompleteWhenItLearnedACompleteHistory() {
        SoftwareVersions versions = SoftwareVersions.of(VersionHistory.UNKNOWN, 0);

        assertTrue(versions.merge(new VersionHistory(List.of(FIRST), false), 1));
        assertEquals(Optional.empty(), versions.of(DESK, 1));
        assertTrue(versions.merge(new VersionHistory(List.of(FIRST), true), 2));
        assertEquals(Optional.of(List.of("v1")), versions.of(DESK, 2));
        assertFalse(versions.merge(new VersionHistory(List.of(FIRST), true), 3));
    }

    @Test
    void shouldForgetAVersionOnlyWhenNoEndpointHasRunItForTheRetentionPeriod() {
        SoftwareVersions versions = SoftwareVersions.of(new VersionHistory(List.of(FIRST, SECOND), true), 0);

        assertFalse(versions.retain(List.of(), RETENTION));
        assertTrue(versions.retain(List.of(), RETENTION + 1));
        assertEquals(Optional.of(List.of()), versions.of(DESK, RETENTION + 1));
    }

    /** An endpoint that announces another version each time must not fill the memory, nor hide a version that is dropped. */
    @Test
    void shouldNotBeCompleteWhenVersionsWereDroppedBecauseThereAreTooMany() {
        SoftwareVersions versions = SoftwareVersions.of(NONE, 0);
        for (int version = 0; version <= SoftwareVersions.MAXIMUM_VERSIONS; version++) {
            versions.record(new ServiceVersion(DESK, "v" + version), 0);
        }

        assertEquals(
                SoftwareVersions.MAXIMUM_VERSIONS,
                versions.history(0).versions().size());
        assertEquals(Optional.empty(), versions.of(DESK, 0));
    }
}
