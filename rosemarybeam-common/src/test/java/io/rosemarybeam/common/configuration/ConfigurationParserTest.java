package io.rosemarybeam.common.configuration;

import java.util.List;

import io.rosemarybeam.common.configuration.ConfigurationParser.Problem;
import io.rosemarybeam.common.configuration.ConfigurationParser.Result;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Deadlines;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.id.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against accepting a contradictory configuration and against problems reported with the wrong line or path. */
class ConfigurationParserTest {
    private static final String VALID = """
            {
              // raised for the second trainer
              "number": 7,
              "controlHosts": [
                {"name": "control-1", "address": "127.0.0.1:7401", "failureDomain": "amman-a"}
              ],
              "entryHosts": {"draining": ["entry-2"]},
              "endpoints": {"draining": ["engine-3"], "roles": {"engine-4": "prefill"}},
              "services": {
                "brailler-lm": {
                  "class": "model",
                  "scoringService": "proof-scorer",
                  "limits": {"maximumConcurrent": 64, "concurrentPerEndpoint": 8},
                  "deadlines": {"totalMilliseconds": 30000, "progressMilliseconds": 2000},
                  "retries": {"maximumAttempts": 3, "budgetPercent": 10},
                  "customerReservePercent": 25,
                  "training": {"stalenessBoundVersions": 2, "trainerIdleWeight": 0.3, "stalenessWeight": 0.7},
                  "rollout": {"capacityFloorPercent": 60, "storeFetchesPerSecond": 2}
                },
                "workshop-app": {
                  "class": "plain",
                  "dependsOn": ["brailler-lm"],
                  "idempotentCalls": [{"method": "GET", "path": "/**"}]
                },
                "proof-scorer": {"class": "plain"}
              }
            }
            """;

    private static List<Problem> problems(String text) {
        Result.Invalid invalid = assertInstanceOf(
                Result.Invalid.class, ConfigurationParser.standard().parse(text));
        return invalid.problems();
    }

    @Test
    void shouldReadEveryPartWhenTextIsValid() {
        Result.Valid valid = assertInstanceOf(
                Result.Valid.class, ConfigurationParser.standard().parse(VALID));

        OperatorConfiguration configuration = valid.configuration();
        ServiceConfiguration model = configuration.services().get(ServiceName.of("brailler-lm"));
        assertEquals(7, configuration.number().value());
        assertEquals("127.0.0.1:7401", configuration.controlHosts().getFirst().address());
        assertEquals(1, configuration.drainingEntryHosts().size());
        assertEquals(1, configuration.drainingEndpoints().size());
        assertEquals(1, configuration.endpointRoles().size());
        assertEquals(ServiceClass.MODEL, model.serviceClass());
        assertEquals(0.3, model.training().orElseThrow().trainerIdleWeight());
        assertEquals(60, model.rollout().orElseThrow().capacityFloorPercent());
        assertTrue(configuration
                .services()
                .get(ServiceName.of("workshop-app"))
                .idempotentCalls()
                .getFirst()
                .matches("GET", "/orders"));
    }

    @Test
    void shouldLowerDefaultsWhenWrittenTotalIsShorter() {
        String text = VALID.replace("{\"totalMilliseconds\": 30000, \"progressMilliseconds\": 2000}", """
                {"totalMilliseconds": 300}""");

        Result.Valid valid = assertInstanceOf(
                Result.Valid.class, ConfigurationParser.standard().parse(text));

        assertEquals(
                new Deadlines(300, 300, 300),
                valid.configuration()
                        .services()
                        .get(ServiceName.of("brailler-lm"))
                        .deadlines());
    }

    @ParameterizedTest
    @CsvFileSource(resources = "broken-rules.txt", delimiter = '|', quoteCharacter = '`')
    void shouldNameLineAndPathWhenOneRuleIsBroken(String from, String into, int line, String path, String message) {
        List<Problem> problems = problems(VALID.replace(from, into));

        Problem first = problems.getFirst();
        assertEquals(line, first.line());
        assertEquals(path, first.path());
        assertTrue(first.message().contains(message), first.message());
    }

    @Test
    void shouldReportEveryProblemInOrderOfTheTextWhenSeveralRulesAreBroken() {
        String text = VALID.replace("\"budgetPercent\": 10", "\"budgetPercent\": -1")
                .replace("\"number\": 7", "\"number\": true")
                .replace("\"class\": \"plain\",\n", "\"class\": \"plain\", \"colour\": 1,\n");

        List<Integer> lines = problems(text).stream().map(Problem::line).toList();

        assertEquals(List.of(3, 15, 21), lines);
    }

    @Test
    void shouldNameTheCycleWhenServicesDependOnEachOther() {
        String text =
                VALID.replace("\"class\": \"model\",", "\"class\": \"model\", \"dependsOn\": [\"workshop-app\"],");

        List<Problem> problems = problems(text);

        assertEquals(1, problems.size());
        assertEquals(
                "dependency cycle brailler-lm -> workshop-app -> brailler-lm",
                problems.getFirst().message());
        assertEquals(22, problems.getFirst().line());
    }

    @ParameterizedTest
    @CsvSource({"2", "9"})
    void shouldRefuseControlHostsWhenTheirNumberIsEvenOrTooLarge(int count) {
        StringBuilder hosts = new StringBuilder();
        for (int index = 0; index < count; index++) {
            hosts.append(index == 0 ? "" : ",")
                    .append("{\"name\": \"c%d\", \"address\": \"127.0.0.1:740%d\", \"failureDomain\": \"d\"}"
                            .formatted(index, index));
        }

        List<Problem> problems = problems("{\"number\": 1, \"controlHosts\": [" + hosts + "], \"services\": {}}");

        assertEquals(
                List.of(new Problem(1, "/controlHosts", "must be an odd number of hosts from 1 to 7, are " + count)),
                problems);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '!',
            value = {"{'number': 1,}! 1", "{ ~'number': ! 2", "[]! 1", " ! 1", "{} {}! 1", "{ ~// ~ 'a' 1}! 3"},
            quoteCharacter = '`')
    void shouldNameTheLineWhenTextIsNoJsonObject(String text, int line) {
        String json = text == null ? "" : text;
        assertEquals(
                line,
                problems(json.replace('~', '\n').replace('\'', '"')).getFirst().line());
    }

    @Test
    void shouldStayWithinMemoryWhenThousandsOfElementsBelowLongKeysAreWrong() {
        String key = "\"" + "k".repeat(900) + "\": {";
        String start = "{\"controlHosts\": [" + "0,".repeat(20_000) + "0], " + key.repeat(29) + "\"x\": [";
        String text = start + "0,".repeat(25_000) + "0]" + "}".repeat(30);

        List<Problem> problems = problems(text);

        assertEquals(101, problems.size());
        assertEquals("/controlHosts/0", problems.get(1).path());
        assertTrue(problems.getLast().message().endsWith("more problems are not listed"), problems.toString());
    }

    @Test
    void shouldRefuseTheTextWhenItHasTooManyValues() {
        List<Problem> problems = problems("{\"controlHosts\":[\n" + "0,".repeat(60_000) + "0]}");

        assertEquals(
                List.of(new Problem(2, "/controlHosts/49998", "not accepted: the text has more than 50000 values")),
                problems);
    }

    @Test
    void shouldNameThePathWhenAValueIsNoJson() {
        Problem problem = problems("{\"number\": 1,\n\"services\": {\"guichet\":\n[1, x]}}")
                .getFirst();

        assertEquals(3, problem.line());
        assertEquals("/services/guichet/1", problem.path());
        assertTrue(problem.message().startsWith("not valid JSON: Unrecognized token 'x'"), problem.message());
    }
}
