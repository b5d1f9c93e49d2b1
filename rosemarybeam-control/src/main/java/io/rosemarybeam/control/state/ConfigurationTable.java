package io.rosemarybeam.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.wire.ControlReply.ApplyOutcome;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.HistoryLine;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The accepted configurations.
 *
 * <p>Invariants: the newest text is always stored; a number is accepted with one text only; numbers are accepted in
 * ascending order. Confined to the thread of the state machine.
 */
public final class ConfigurationTable {
    /** Maximum number of stored texts. */
    public static final int MAXIMUM_TEXTS = 1_000;

    /** Maximum number of stored digests, one per accepted configuration. */
    public static final int MAXIMUM_DIGESTS = 100_000;

    /** Maximum size of all stored texts, in characters; the oldest are evicted to bound the memory of the process. */
    public static final int MAXIMUM_TEXT_CHARACTERS = 4_194_304;

    /** Maximum number of history lines in one reply, so that it fits into a frame. */
    public static final int MAXIMUM_HISTORY_LINES = 10_000;

    /** Length to which names of operators are truncated, in characters. */
    private static final int MAXIMUM_OPERATOR_CHARACTERS = 128;

    private final TreeMap<Long, String> texts = new TreeMap<>();
    private final TreeMap<Long, HistoryLine> historyLines = new TreeMap<>();
    private long textCharacters;

    ApplyReply accept(Command.AcceptConfiguration command) {
        long number = command.number();
        String digest = digest(command.text());
        Optional<ApplyReply> earlierOutcome = outcomeOf(number, digest);
        if (earlierOutcome.isPresent()) {
            return earlierOutcome.get();
        }
        String operator =
                command.operator().substring(0, Math.min(command.operator().length(), MAXIMUM_OPERATOR_CHARACTERS));
        texts.put(number, command.text());
        textCharacters += command.text().length();
        historyLines.put(number, new HistoryLine(number, digest, command.wallClockMilliseconds(), operator));
        evictOldest();
        return reply(ApplyOutcome.ACCEPTED, number, Optional.empty());
    }

    /**
     * Returns the outcome of applying a configuration if it is decided without a new entry in the log.
     *
     * @param number number of the configuration
     * @param digest digest of its text
     * @return the outcome, or empty if the number is higher than every accepted one
     */
    public Optional<ApplyReply> outcomeOf(long number, String digest) {
        HistoryLine line = historyLines.get(number);
        if (line != null && line.digest().equals(digest)) {
            return Optional.of(reply(ApplyOutcome.RESENT, number, Optional.empty()));
        }
        if (line != null) {
            return Optional.of(reply(ApplyOutcome.CONFLICT, number, Optional.ofNullable(texts.get(number))));
        }
        if (!historyLines.isEmpty() && number < historyLines.lastKey()) {
            return Optional.of(reply(ApplyOutcome.NUMBER_TOO_LOW, number, Optional.empty()));
        }
        return Optional.empty();
    }

    private static ApplyReply reply(ApplyOutcome outcome, long number, Optional<String> winner) {
        return new ApplyReply(outcome, number, List.of(), winner, false, List.of());
    }

    private void evictOldest() {
        while (texts.size() > 1 && (texts.size() > MAXIMUM_TEXTS || textCharacters > MAXIMUM_TEXT_CHARACTERS)) {
            textCharacters -= texts.pollFirstEntry().getValue().length();
        }
        while (historyLines.size() > MAXIMUM_DIGESTS) {
            historyLines.pollFirstEntry();
        }
    }

    /**
     * Returns the digest of a configuration text.
     *
     * @param text the text
     * @return its SHA-256 in hexadecimal digits
     */
    public static String digest(String text) {
        return DigestUtils.sha256Hex(text);
    }

    /**
     * Returns the newest accepted configuration.
     *
     * @return the configuration, or empty if none was accepted
     */
    public Optional<ConfigurationText> newest() {
        return Optional.ofNullable(texts.lastEntry())
                .map(entry -> new ConfigurationText(entry.getKey(), entry.getValue()));
    }

    /**
     * Returns the number of the newest accepted configuration.
     *
     * @return the number, or zero if none was accepted
     */
    public long newestNumber() {
        return texts.isEmpty() ? 0 : texts.lastKey();
    }

    /**
     * Returns the history of accepted configurations, newest first.
     *
     * @param maximum maximum number of lines
     * @return the lines
     */
    public List<HistoryLine> history(int maximum) {
        return historyLines.descendingMap().values().stream()
                .limit(Math.max(maximum, 0))
                .toList();
    }

    /**
     * Returns the numbers of stored texts and digests.
     *
     * @return the numbers by the name that dumps use
     */
    public Map<String, Integer> sizes() {
        return Map.of("texts", texts.size(), "digests", historyLines.size());
    }

    SnapshotData snapshotData() {
        List<ConfigurationText> storedTexts = new ArrayList<>();
        texts.forEach((number, text) -> storedTexts.add(new ConfigurationText(number, text)));
        return new SnapshotData(storedTexts, List.copyOf(historyLines.values()));
    }

    void restore(SnapshotData data) {
        texts.clear();
        historyLines.clear();
        textCharacters = 0;
        for (ConfigurationText text : data.texts) {
            texts.put(text.number(), text.text());
            textCharacters += text.text().length();
        }
        data.historyLines.forEach(line -> historyLines.put(line.number(), line));
    }

    /** The contents of the table in a snapshot. Immutable. */
    record SnapshotData(List<ConfigurationText> texts, List<HistoryLine> historyLines) {}
}
