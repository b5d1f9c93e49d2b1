package io.rosemarybeam.common.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;

import io.rosemarybeam.common.configuration.ConfigurationParser.Problem;
import io.rosemarybeam.common.configuration.ConfigurationParser.Result;
import io.rosemarybeam.common.configuration.RenderedText.Fault;
import io.rosemarybeam.common.configuration.RenderedText.Rendered;
import io.rosemarybeam.common.settings.Findings;
import io.rosemarybeam.common.settings.JsonTreeReader;
import io.rosemarybeam.common.settings.JsonValue;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against texts that make the parser throw, and against problems that are reported with the wrong line or path.
 */
class ConfigurationParserFuzzTest {
    private static final ConfigurationParser PARSER = ConfigurationParser.standard();
    private static final List<String> FRAGMENTS = List.of(
            "{",
            "}",
            "[",
            "]",
            ":",
            ",",
            "\"",
            "\\",
            "//",
            "/*",
            "*/",
            "\n",
            "null",
            "true",
            "-1",
            "1e999",
            "0.5",
            "7",
            "99999999999999999999",
            "\"number\"",
            "\"controlHosts\"",
            "\"services\"",
            "\"class\"",
            "\"plain\"",
            "\"limits\"",
            "\"dependsOn\"",
            "\"training\"",
            "\"address\"",
            "\"127.0.0.1:1\"",
            "\u0000",
            "\ud800",
            "é",
            "\"\\ud800\"");

    private static String example() {
        try {
            return Files.readString(Path.of("..", "examples", "al-nour", "operator.json"));
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static JsonValue exampleTree() {
        return JsonTreeReader.read(example(), new Findings()).orElseThrow();
    }

    private static void assertValidOrProblemsReported(String text) {
        Result result = PARSER.parse(text);

        if (result instanceof Result.Invalid invalid) {
            long lines = text.chars()
                            .filter(character -> character == '\n' || character == '\r')
                            .count()
                    + 1;
            assertTrue(!invalid.problems().isEmpty(), "no problem is reported");
            for (Problem problem : invalid.problems()) {
                assertTrue(problem.line() >= 1 && problem.line() <= lines, problem.toString());
                assertTrue(problem.path().startsWith("/"), problem.toString());
            }
            List<Integer> lineNumbers =
                    invalid.problems().stream().map(Problem::line).toList();
            assertEquals(lineNumbers.stream().sorted().toList(), lineNumbers);
        }
    }

    @Property(seed = "602001", tries = 2_000, shrinking = ShrinkingMode.BOUNDED)
    void shouldReturnResultWhenTextIsArbitrary(@ForAll @StringLength(max = 200) String text) {
        assertValidOrProblemsReported(text);
    }

    @Provide
    Arbitrary<String> jsonLike() {
        return Arbitraries.of(FRAGMENTS).list().ofMaxSize(60).map(fragments -> String.join("", fragments));
    }

    @Property(seed = "602002", tries = 5_000, shrinking = ShrinkingMode.BOUNDED)
    void shouldReturnResultWhenTextIsMadeOfJsonFragments(@ForAll("jsonLike") String text) {
        assertValidOrProblemsReported(text);
    }

    @Property(seed = "602003", tries = 3_000, shrinking = ShrinkingMode.OFF)
    void shouldReturnResultWhenValidTextIsMutated(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int mutations) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(example());
        for (int count = 0; count < mutations; count++) {
            int start = random.nextInt(text.length());
            int end = Math.min(text.length(), start + random.nextInt(12));
            String fragment = FRAGMENTS.get(random.nextInt(FRAGMENTS.size()));
            text.replace(start, end, random.nextBoolean() ? fragment : "");
        }
        assertValidOrProblemsReported(text.toString());
    }

    @Property(seed = "602004", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void shouldNameLineAndPathWhenOneMemberOfAValidTextIsWrong(
            @ForAll @IntRange(max = 10_000) int choice, @ForAll Fault fault, @ForAll long seed) {
        JsonValue tree = exampleTree();
        List<String> paths = RenderedText.memberPaths(tree);
        String path = paths.get(choice % paths.size());
        // Below these, keys are names of services, endpoints or trainers, so no key is unknown.
        String parent = path.substring(0, path.lastIndexOf('/'));
        if (fault == Fault.UNKNOWN_KEY && (parent.equals("/services") || parent.endsWith("/trainerShares"))) {
            return;
        }
        Rendered rendered = RenderedText.render(tree, path, fault, seed);

        Result.Invalid invalid = assertInstanceOf(Result.Invalid.class, PARSER.parse(rendered.text()), rendered.text());

        String expected = fault == Fault.UNKNOWN_KEY ? parent + "/colour" : path;
        assertTrue(
                invalid.problems().stream()
                        .anyMatch(problem -> problem.line() == rendered.line()
                                && problem.path().equals(expected)
                                && problem.message().contains(message(fault))),
                () -> expected + " on line " + rendered.line() + ": " + invalid.problems() + "\n" + rendered.text());
    }

    private static String message(Fault fault) {
        return switch (fault) {
            case WRONG_TYPE -> "is null";
            case DUPLICATE_KEY -> "duplicate key";
            case UNKNOWN_KEY -> "unknown key";
        };
    }

    @Property(seed = "602005", tries = 200, shrinking = ShrinkingMode.OFF)
    void shouldFindOneCycleOrNoneWhenDependenciesAreArbitrary(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int services) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder("{\"number\": 1, \"controlHosts\": "
                + "[{\"name\": \"c\", \"address\": \"127.0.0.1:1\", \"failureDomain\": \"d\"}], \"services\": {");
        boolean backward = random.nextBoolean();
        boolean cyclic = false;
        for (int index = 0; index < services; index++) {
            int target = random.nextInt(services);
            boolean depends = backward ? target < index : random.nextInt(4) == 0;
            cyclic |= depends && target == index;
            text.append(index == 0 ? "\n" : ",\n")
                    .append("\"s%d\": {\"class\": \"plain\", \"dependsOn\": [%s]}"
                            .formatted(index, depends ? "\"s" + target + "\"" : ""));
        }
        text.append("}}");

        Result result = PARSER.parse(text.toString());

        if (backward) {
            assertInstanceOf(Result.Valid.class, result);
        } else if (cyclic) {
            assertInstanceOf(Result.Invalid.class, result);
        }
    }
}
