package io.rosemarybeam.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.rosemarybeam.common.event.Event;

/**
 * The path of one request, submission, item or configuration through the processes, reconstructed from their logs.
 *
 * <p>Lines on the path contain the identifier as request, submission or scorer, the identifier of the scorer of the item,
 * or the fingerprint of the request. Lines of the context show the state on which the processes on the path based their
 * decisions: the configuration in use, the state of the endpoints that were tried, lost and restored connections to store
 * hosts, changes of the leader, reloaded settings, stalls of an event loop, and starts and stops. The path of an item
 * contains the end of its submission. Immutable and safe for use by several threads.
 *
 * @param subject what is explained, for the heading
 * @param lines the lines in order of time
 * @param lateSends the items and score requests on the path that were sent after the end of their submission
 */
record Explanation(String subject, List<Line> lines, List<LateSend> lateSends) {
    /** A change this long before the first decision of the path can still be the reason for it. */
    private static final Duration CONTEXT_BEFORE = Duration.ofSeconds(2);

    private static final Set<Event> PROCESS_EVENTS = Set.of(
            Event.PROCESS_STARTED,
            Event.PROCESS_STOPPING,
            Event.PROCESS_STOPPED,
            Event.PROCESS_FAILED,
            Event.SETTINGS_RELOADED,
            Event.SETTINGS_REFUSED,
            Event.LOOP_STALLED,
            Event.LEADER_ELECTED,
            Event.LEADERSHIP_LOST,
            Event.STORE_CONNECTED,
            Event.STORE_LOST,
            Event.STORE_LEADER_CHANGED);
    private static final Set<Event> ENDPOINT_EVENTS =
            Set.of(Event.ENDPOINT_CHANGED, Event.ORDER_GIVEN, Event.ORDER_FAILED, Event.VERSION_LOADED);
    private static final Set<Event> CONFIGURATION_EVENTS =
            Set.of(Event.CONFIGURATION_IN_USE, Event.CONTROL_REQUEST_FINISHED);
    private static final Set<Event> END_EVENTS =
            Set.of(Event.END_REQUESTED, Event.END_KEPT, Event.END_DELIVERED, Event.END_DROPPED, Event.SUBMISSION_ENDED);
    private static final Set<String> IDENTIFIER_FIELDS = Set.of("request", "submission", "scorer", "fingerprint");
    private static final Pattern LIST_SEPARATORS = Pattern.compile("[\\[\\], ]+");

    /**
     * One line of the explanation.
     *
     * @param record the log record
     * @param onPath whether the record is part of the path; otherwise it is context
     */
    record Line(LogRecord record, boolean onPath) {}

    /**
     * Explains a request, a submission or an item.
     *
     * @param identifier the id of the request, submission or item
     * @param records the records of all logs in order of time
     * @return the explanation; without lines if no record contains the id
     */
    static Explanation ofRequest(String identifier, List<LogRecord> records) {
        Set<String> identifiers = relatedIdentifiers(identifier, records);
        Set<String> submissions = submissions(identifier, records);
        return explain(
                "request " + identifier,
                records,
                record -> hasIdentifier(record, identifiers)
                        || isOneOf(record, END_EVENTS) && submissions.contains(record.field("request")));
    }

    /**
     * Explains how a configuration was accepted and put into use.
     *
     * @param version the version of the configuration
     * @param records the records of all logs in order of time
     * @return the explanation; without lines if no record reports the version
     */
    static Explanation ofConfiguration(long version, List<LogRecord> records) {
        return explain(
                "configuration " + version,
                records,
                record -> isOneOf(record, CONFIGURATION_EVENTS)
                        && record.number("version").equals(Optional.of(version)));
    }

    /**
     * Returns the identifier, that of its scorer, and the fingerprint under which resends are recognised, if any; other
     * items of the same submission are not included.
     */
    private static Set<String> relatedIdentifiers(String identifier, List<LogRecord> records) {
        Set<String> related = new LinkedHashSet<>();
        related.add(identifier);
        for (LogRecord record : records) {
            if (record.field("request").equals(identifier)) {
                related.add(record.field("scorer"));
                related.add(record.field("fingerprint"));
            }
        }
        related.remove("");
        return related;
    }

    /** Returns the submissions of an item or of the request for its score; several may contain the same item. */
    private static Set<String> submissions(String identifier, List<LogRecord> records) {
        Set<String> submissions = records.stream()
                .filter(record -> record.field("request").equals(identifier)
                        || record.field("scorer").equals(identifier))
                .map(record -> record.field("submission"))
                .collect(Collectors.toSet());
        submissions.remove("");
        return submissions;
    }

    private static boolean hasIdentifier(LogRecord record, Set<String> identifiers) {
        return IDENTIFIER_FIELDS.stream().anyMatch(field -> identifiers.contains(record.field(field)));
    }

    private static boolean isOneOf(LogRecord record, Set<Event> events) {
        return events.stream().anyMatch(record::is);
    }

    private static Explanation explain(String subject, List<LogRecord> records, Predicate<LogRecord> onPath) {
        List<LogRecord> path = records.stream().filter(onPath).toList();
        if (path.isEmpty()) {
            return new Explanation(subject, List.of(), List.of());
        }
        Set<LogRecord> context = context(path, records);
        List<Line> lines = new ArrayList<>();
        for (LogRecord record : records) {
            boolean isOnPath = onPath.test(record);
            if (isOnPath || context.contains(record)) {
                lines.add(new Line(record, isOnPath));
            }
        }
        return new Explanation(subject, List.copyOf(lines), LateSend.find(path, records));
    }

    private static Set<LogRecord> context(List<LogRecord> path, List<LogRecord> records) {
        Instant from = path.stream()
                .map(Explanation::decisionStart)
                .min(Instant::compareTo)
                .orElseThrow()
                .minus(CONTEXT_BEFORE);
        Instant until = path.getLast().time();
        Set<String> processes = path.stream().map(LogRecord::process).collect(Collectors.toSet());
        Set<String> endpoints = endpoints(path);
        Set<LogRecord> context = new HashSet<>();
        for (LogRecord record : records) {
            boolean isInPeriod = !record.time().isBefore(from) && !record.time().isAfter(until);
            if (isInPeriod && isOneOf(record, PROCESS_EVENTS) && processes.contains(record.process())) {
                context.add(record);
            }
            if (isInPeriod && isOneOf(record, ENDPOINT_EVENTS) && endpoints.contains(record.field("endpoint"))) {
                context.add(record);
            }
        }
        for (LogRecord pathRecord : path) {
            lastEndpointChange(pathRecord, records).ifPresent(context::add);
            configurationInUse(pathRecord, records).ifPresent(context::add);
        }
        return context;
    }

    /** Returns the time at which the operation of a record began, or the time of the record if it has no duration. */
    private static Instant decisionStart(LogRecord record) {
        return record.time().minusMillis(record.number("milliseconds").orElse(0L));
    }

    private static Set<String> endpoints(List<LogRecord> path) {
        Set<String> endpoints = new HashSet<>();
        for (LogRecord pathRecord : path) {
            endpoints.add(pathRecord.field("endpoint"));
            endpoints.addAll(List.of(LIST_SEPARATORS.split(pathRecord.field("endpoints"))));
        }
        endpoints.remove("");
        return endpoints;
    }

    /** Returns the last state change of the endpoint before an attempt, on which the choice of the endpoint was based. */
    private static Optional<LogRecord> lastEndpointChange(LogRecord pathRecord, List<LogRecord> records) {
        String endpoint = pathRecord.field("endpoint");
        return endpoint.isEmpty()
                ? Optional.empty()
                : lastUntil(
                        records,
                        decisionStart(pathRecord),
                        record -> record.is(Event.ENDPOINT_CHANGED)
                                && record.field("endpoint").equals(endpoint));
    }

    private static Optional<LogRecord> configurationInUse(LogRecord pathRecord, List<LogRecord> records) {
        String version = pathRecord.field("configuration");
        return version.isEmpty()
                ? Optional.empty()
                : lastUntil(
                        records,
                        pathRecord.time(),
                        record -> record.is(Event.CONFIGURATION_IN_USE)
                                && record.process().equals(pathRecord.process())
                                && record.field("version").equals(version));
    }

    private static Optional<LogRecord> lastUntil(
            List<LogRecord> records, Instant until, Predicate<LogRecord> predicate) {
        return records.stream()
                .filter(record -> !record.time().isAfter(until))
                .filter(predicate)
                .reduce((earlier, later) -> later);
    }

    /**
     * Returns the final decision of the path.
     *
     * @return the last record on the path; empty if there are no lines
     */
    Optional<LogRecord> outcome() {
        return lines.stream().filter(Line::onPath).map(Line::record).reduce((earlier, later) -> later);
    }
}
