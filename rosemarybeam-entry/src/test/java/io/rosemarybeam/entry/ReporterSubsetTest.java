package io.rosemarybeam.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.EntryHostRecord;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against endpoints that report to too many entries, omit a failure domain or move many reports when one host is
 * removed.
 */
class ReporterSubsetTest {
    private static List<EntryHostRecord> entries(int count, int domains) {
        List<EntryHostRecord> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            String address = "127.0.0.1:" + (10_000 + number);
            entries.add(new EntryHostRecord(
                    HostName.of("entry-" + number),
                    1,
                    address,
                    address,
                    FailureDomain.of("domain-" + number % domains),
                    false));
        }
        return entries;
    }

    private static Set<HostName> names(int endpoint, List<EntryHostRecord> entries) {
        return ReporterSubset.choose(EndpointId.of("endpoint-" + endpoint), entries).stream()
                .map(EntryHostRecord::name)
                .collect(Collectors.toSet());
    }

    @Test
    void shouldChooseAllWhenThereAreFew() {
        assertEquals(24, names(1, entries(24, 4)).size());
        assertEquals(7, names(1, entries(7, 3)).size());
        assertEquals(0, names(1, List.of()).size());
    }

    @Test
    void shouldCoverEveryDomainWhenThereAreMany() {
        List<EntryHostRecord> entries = entries(380, 6);
        for (int endpoint = 0; endpoint < 850; endpoint++) {
            List<EntryHostRecord> chosen = ReporterSubset.choose(EndpointId.of("endpoint-" + endpoint), entries);
            assertEquals(24, chosen.size());
            assertEquals(
                    6,
                    chosen.stream()
                            .map(EntryHostRecord::failureDomain)
                            .distinct()
                            .count());
        }
    }

    // Removing one of 380 hosts must only replace that host in the choices that contained it.
    @Test
    void shouldMoveOnlyAffectedReportsWhenOneHostIsRemoved() {
        List<EntryHostRecord> entries = entries(380, 6);
        List<EntryHostRecord> fewer = new ArrayList<>(entries);
        HostName lost = fewer.remove(17).name();
        for (int endpoint = 0; endpoint < 850; endpoint++) {
            Set<HostName> before = names(endpoint, entries);
            Set<HostName> after = names(endpoint, fewer);
            before.removeAll(after);
            assertTrue(before.isEmpty() || before.equals(Set.of(lost)), "endpoint " + endpoint + " moved " + before);
        }
    }

    @Test
    void shouldSpreadReportsEvenlyWhenThereAreMany() {
        List<EntryHostRecord> entries = entries(380, 6);
        int[] reports = new int[380];
        for (int endpoint = 0; endpoint < 850; endpoint++) {
            names(endpoint, entries)
                    .forEach(name -> reports[Integer.parseInt(name.value().substring(6))]++);
        }
        int expected = 850 * 24 / 380;
        for (int count : reports) {
            assertTrue(count < 2 * expected, count + " reports at one entry, " + expected + " on average");
        }
    }
}
