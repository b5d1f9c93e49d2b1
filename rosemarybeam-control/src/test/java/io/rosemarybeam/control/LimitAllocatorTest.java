package io.rosemarybeam.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against limits that are exceeded while shares move, replies are lost, leases lapse and leaders change. */
class LimitAllocatorTest {
    private static final String SERVICE = "brailler-lm";
    private static final int LIMIT = 64;

    private final LimitAllocator<String> allocator = allocator();

    private static LimitAllocator<String> allocator() {
        LimitAllocator<String> allocator = new LimitAllocator<>();
        allocator.setLimits(Map.of(SERVICE, LIMIT));
        return allocator;
    }

    private int renew(String entry, int held, int demand) {
        return allocator
                .renew(entry, Map.of(SERVICE, held), Map.of(SERVICE, demand))
                .get(SERVICE);
    }

    @Test
    void shouldGrowShareOnlyWhenAnotherHasShrunk() {
        assertEquals(64, renew("a", 0, 1));
        assertEquals(0, renew("b", 0, 1));
        assertEquals(32, renew("a", 64, 1));
        assertEquals(0, renew("b", 0, 1));
        assertEquals(32, renew("a", 32, 1));
        assertEquals(32, renew("b", 0, 1));
    }

    @Test
    void shouldFollowDemandWhenOneEntryIsBusy() {
        renew("a", 0, 0);
        renew("b", 0, 100);
        renew("a", 64, 0);
        renew("a", 16, 0);

        assertEquals(48, renew("b", 0, 100));
    }

    @Test
    void shouldReallocateShareWhenLeaseLapsed() {
        renew("a", 0, 1);
        renew("b", 0, 1);
        allocator.release("a");

        assertEquals(64, renew("b", 0, 1));
    }

    @Test
    void shouldNotGrowAnyShareWhenNewLeaderAwaitsReports() {
        allocator.markAwaitingReport("a");
        allocator.markAwaitingReport("b");

        assertEquals(20, renew("a", 20, 50));
        assertEquals(32, renew("b", 44, 50));
        assertEquals(20, renew("a", 20, 50));
        assertEquals(32, renew("b", 32, 50));
        assertEquals(32, renew("a", 20, 50));
    }

    // The shares in use must never exceed the limit, and must add up to it once all entries have reported.
    @Property(tries = 200, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void shouldNeverExceedLimitWhenRepliesAreLostAndLeadersChange(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LimitAllocator<String> current = allocator();
        Map<String, Integer> sharesInUse = new TreeMap<>();
        for (int step = 0; step < 400; step++) {
            String entry = "entry-" + random.nextInt(5);
            int choice = random.nextInt(20);
            if (choice == 0) {
                // The lease lapsed: the entry stops using its share before the leader releases it.
                sharesInUse.remove(entry);
                current.release(entry);
            } else if (choice == 1) {
                current = allocator();
                sharesInUse.keySet().forEach(current::markAwaitingReport);
            } else {
                int held = sharesInUse.getOrDefault(entry, 0);
                Map<String, Integer> shares =
                        current.renew(entry, Map.of(SERVICE, held), Map.of(SERVICE, random.nextInt(30)));
                boolean replyArrives = random.nextInt(4) > 0;
                sharesInUse.put(entry, replyArrives ? shares.get(SERVICE) : held);
            }
            int sum = sharesInUse.values().stream().mapToInt(Integer::intValue).sum();
            assertTrue(sum <= LIMIT, "entries use " + sum + " of " + LIMIT);
        }
        Map<String, Integer> converged = new HashMap<>(sharesInUse);
        for (int round = 0; round < 4; round++) {
            for (String entry : List.copyOf(sharesInUse.keySet())) {
                int share = current.renew(entry, Map.of(SERVICE, converged.get(entry)), Map.of(SERVICE, 1))
                        .get(SERVICE);
                converged.put(entry, share);
            }
        }
        int sum = converged.values().stream().mapToInt(Integer::intValue).sum();
        assertEquals(
                sharesInUse.isEmpty() ? 0 : LIMIT,
                sum,
                "the complete limit is allocated once all entries have reported");
    }
}
