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

/** Guards against limits that are exceeded while shares move, answers are lost, entries die and leaders change. */
class LimitLenderTest {
    private static final String SERVICE = "brailler-lm";
    private static final int LIMIT = 64;

    private final LimitLender<String> lender = lender();

    private static LimitLender<String> lender() {
        LimitLender<String> lender = new LimitLender<>();
        lender.setLimits(Map.of(SERVICE, LIMIT));
        return lender;
    }

    private int renew(String entry, int held, int demand) {
        return lender.renew(entry, Map.of(SERVICE, held), Map.of(SERVICE, demand))
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
    void shouldGiveShareToOthersWhenLeaseLapsed() {
        renew("a", 0, 1);
        renew("b", 0, 1);
        lender.lapsed("a");

        assertEquals(64, renew("b", 0, 1));
    }

    @Test
    void shouldNotGrowAnyShareWhenNewLeaderHasNotHeardFromAll() {
        lender.expect("a");
        lender.expect("b");

        assertEquals(20, renew("a", 20, 50));
        assertEquals(32, renew("b", 44, 50));
        assertEquals(20, renew("a", 20, 50));
        assertEquals(32, renew("b", 32, 50));
        assertEquals(32, renew("a", 20, 50));
    }

    @Property(tries = 200, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void shouldNeverExceedLimitWhenAnswersAreLostAndLeadersChange(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LimitLender<String> current = lender();
        Map<String, Integer> acting = new TreeMap<>();
        for (int step = 0; step < 400; step++) {
            String entry = "entry-" + random.nextInt(5);
            int choice = random.nextInt(20);
            if (choice == 0) {
                // The lease lapsed: the entry has stopped acting on its share before the leader forgets it.
                acting.remove(entry);
                current.lapsed(entry);
            } else if (choice == 1) {
                current = lender();
                acting.keySet().forEach(current::expect);
            } else {
                int held = acting.getOrDefault(entry, 0);
                Map<String, Integer> shares =
                        current.renew(entry, Map.of(SERVICE, held), Map.of(SERVICE, random.nextInt(30)));
                boolean answerArrives = random.nextInt(4) > 0;
                acting.put(entry, answerArrives ? shares.get(SERVICE) : held);
            }
            int sum = acting.values().stream().mapToInt(Integer::intValue).sum();
            assertTrue(sum <= LIMIT, "entries act on " + sum);
        }
        Map<String, Integer> settled = new HashMap<>(acting);
        for (int round = 0; round < 4; round++) {
            for (String entry : List.copyOf(acting.keySet())) {
                int share = current.renew(entry, Map.of(SERVICE, settled.get(entry)), Map.of(SERVICE, 1))
                        .get(SERVICE);
                settled.put(entry, share);
            }
        }
        int sum = settled.values().stream().mapToInt(Integer::intValue).sum();
        assertEquals(acting.isEmpty() ? 0 : LIMIT, sum, "the whole limit is lent once all have answered");
    }
}
