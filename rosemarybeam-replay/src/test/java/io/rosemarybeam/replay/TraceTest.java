package io.rosemarybeam.replay;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.TraceException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against invalid traces that are accepted silently, and against wrong exit codes of the program. */
class TraceTest {
    private static final String OUTCOME = "{\"at\":9,\"kind\":\"outcome\",\"measure\":\"promisesBroken\",\"atMost\":0}";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"at\":1,\"kind\":\"loadLag\"} | line 2",
                "{\"at\":1,\"kind\":\"unheard\"} | line 2",
                "{\"at\":1,\"kind\":\"loadLag\",\"milliseconds\":5,\"extra\":1} | line 2",
                "{\"at\":-1,\"kind\":\"loadLag\",\"milliseconds\":5} | before time 0",
                "{\"at\":1,\"kind\":\"endpointSlowdown\",\"endpoint\":\"a\",\"factor\":0.5,\"durationMilliseconds\":1} | factor",
                "{\"at\":1,\"kind\":\"outcome\",\"measure\":\"unheard\",\"atMost\":1} | measure",
                "{\"at\":1,\"kind\":\"outcome\",\"measure\":\"promisesBroken\"} | exactly one",
                "not JSON | line 2"
            })
    void shouldReportTheLineWhenALineIsInvalid(String line, String expected) {
        TraceException exception =
                assertThrows(TraceException.class, () -> Trace.parse("x", List.of("// comment", line, OUTCOME)));
        assertEquals(ErrorCode.TRACE_INVALID, exception.code());
        assertTrue(exception.getMessage().contains(expected), exception.getMessage());
        assertTrue(exception.getMessage().contains("line 2"), exception.getMessage());
    }

    @Test
    void shouldRefuseTraceWhenItStatesNoOutcome() {
        assertThrows(
                TraceException.class,
                () -> Trace.parse("x", List.of("{\"at\":1,\"kind\":\"loadLag\",\"milliseconds\":5}")));
    }

    @Test
    void shouldExitWithTwoWhenInputIsBad() {
        assertEquals(ReplayProgram.EXIT_BAD_INPUT, run("no-such-trace.jsonl"));
        assertEquals(ReplayProgram.EXIT_BAD_INPUT, run());
        assertEquals(ReplayProgram.EXIT_BAD_INPUT, run("x", "--policy", "other"));
        assertEquals(ReplayProgram.EXIT_BAD_INPUT, run("x", "--without", "NOTHING"));
        assertEquals(ReplayProgram.EXIT_BAD_INPUT, run("x", "--unknown"));
    }

    @Test
    void shouldExitWithZeroWhenHelpIsAsked() {
        assertEquals(ReplayProgram.EXIT_SUCCESS, run("--help"));
    }

    private static int run(String... arguments) {
        PrintStream unused = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        return ReplayProgram.run(arguments, unused, unused);
    }
}
