package io.rosemarybeam.common.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.settings.JsonValue.StringValue;

/**
 * How a store process calls the provider of its hosts. Immutable and safe for use by several threads.
 *
 * @param address IP address and port of the provider
 * @param duties the provider's words for the calls that it expects
 * @param callsPerSecond calls per second that the provider takes from all hosts together
 * @param usageWindow length of the windows of time for which use is reported
 */
public record ProviderSettings(String address, List<String> duties, double callsPerSecond, Duration usageWindow) {
    /** Calls per second if the settings name none; low enough for any provider, and enough for both duties. */
    private static final double DEFAULT_CALLS_PER_SECOND = 5;

    private static final double MAXIMUM_CALLS_PER_SECOND = 100_000;
    private static final double DEFAULT_WINDOW_SECONDS = 5;
    private static final double MAXIMUM_WINDOW_SECONDS = 86_400;

    public ProviderSettings {
        duties = List.copyOf(duties);
    }

    /** Returns the settings; empty if they name no address or no duty. Invalid values are reported to the reader. */
    static Optional<ProviderSettings> read(SettingsReader reader) {
        Optional<String> address = reader.optionalString("providerAddress");
        List<String> duties = new ArrayList<>();
        for (JsonValue duty : reader.elements("providerDuties")) {
            if (duty instanceof StringValue text) {
                duties.add(text.value());
            } else {
                reader.report("providerDuties", "must contain texts only");
            }
        }
        double calls = optionalNumber(
                reader, "providerCallsPerSecond", 0.01, MAXIMUM_CALLS_PER_SECOND, DEFAULT_CALLS_PER_SECOND);
        double window =
                optionalNumber(reader, "usageWindowSeconds", 0.1, MAXIMUM_WINDOW_SECONDS, DEFAULT_WINDOW_SECONDS);
        return address.filter(ignored -> !duties.isEmpty())
                .map(known ->
                        new ProviderSettings(known, duties, calls, Duration.ofMillis(Math.round(1_000 * window))));
    }

    private static double optionalNumber(
            SettingsReader reader, String key, double minimum, double maximum, double fallback) {
        return reader.has(key) ? reader.number(key, minimum, maximum) : fallback;
    }
}
