package io.rosemarybeam.testbed;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a soak that passes although work arrives after the end of its submission, and one that fails without reason.
 */
class SoakEndsTest {
    private static final long START = SoakReport.now();

    /** CancelMs and AckMs of the platform's site files. */
    private static final long CANCEL = 3_000;

    private static final long ACKNOWLEDGEMENT = 4_000;

    private final SoakEnds ends = new SoakEnds(new StallMonitor());

    @Test
    void shouldReportWorkWhenItArrivesLaterThanAllowed() {
        ends.submitted("step", List.of("step-0", "step-score-0"));
        ends.answered("step", "DELETE", 200, START);

        assertEquals(Optional.empty(), ends.arrived("step-0", "engine", START + CANCEL));
        assertEquals(
                Optional.of("UNASKED: step-0 reached engine 3001 ms after the acknowledged end of step, at "
                        + (START + CANCEL + 1) + "; answers: DELETE 200 at " + START),
                ends.arrived("step-0", "engine", START + CANCEL + 1));
        assertTrue(ends.arrived("step-score-0", "desk", START + CANCEL + 1).isPresent());
    }

    @Test
    void shouldReportEachWorkOnceWhenItArrivesAgain() {
        ends.submitted("step", List.of("step-0"));
        ends.answered("step", "DELETE", 200, START);
        ends.arrived("step-0", "engine", START + CANCEL + 1);

        assertEquals(Optional.empty(), ends.arrived("step-0", "engine", START + CANCEL + 2));
    }

    @Test
    void shouldReportWorkWhenNobodySentIt() {
        assertTrue(ends.arrived("unknown-0", "engine", START).isPresent());
    }

    @Test
    void shouldAllowWorkWhenItsSubmissionIsOpen() {
        ends.submitted("step", List.of("step-0"));

        assertEquals(Optional.empty(), ends.arrived("step-0", "engine", START + 100_000));
    }

    @Test
    void shouldCountEndAsAcknowledgedWhenNothingDisturbedIt() {
        ends.submitted("step", List.of("step-0"));
        ends.asked("step", START + 10);

        assertEquals(Optional.empty(), ends.arrived("step-0", "engine", START + 10 + ACKNOWLEDGEMENT + CANCEL));
        assertTrue(ends.arrived("step-0", "engine", START + 11 + ACKNOWLEDGEMENT + CANCEL)
                .isPresent());
    }

    @Test
    void shouldNotCountEndAsAcknowledgedWhenHostsWereDisturbed() {
        ends.submitted("step", List.of("step-0"));
        ends.asked("step", START);
        ends.disturbanceBegan();

        assertEquals(Optional.empty(), ends.arrived("step-0", "engine", START + 20_000));

        ends.disturbanceEnded(START + 20_000);

        assertEquals(Optional.empty(), ends.arrived("step-0", "engine", START + 20_000 + ACKNOWLEDGEMENT + CANCEL));
        assertTrue(ends.arrived("step-0", "engine", START + 20_001 + ACKNOWLEDGEMENT + CANCEL)
                .isPresent());
    }
}
