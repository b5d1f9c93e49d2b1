package io.rosemarybeam.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;

/**
 * Settings of an entry process. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param failureDomain where it runs
 * @param callerAddress IP number and port for callers, trainers and endpoints
 * @param peerAddress IP number and port for other entry processes
 * @param adminAddress IP number and port of metrics and dump
 * @param controlAddresses IP numbers and ports of the control hosts
 * @param clusterSecret secret of control and entry processes
 * @param limits sizes
 */
public record EntrySettings(
        HostName name,
        FailureDomain failureDomain,
        String callerAddress,
        String peerAddress,
        String adminAddress,
        List<String> controlAddresses,
        String clusterSecret,
        Limits limits) {
    /** Copies the addresses. */
    public EntrySettings {
        controlAddresses = List.copyOf(controlAddresses);
        if (controlAddresses.isEmpty()) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, "/controlAddresses: at least one is needed");
        }
    }

    /**
     * Sizes.
     *
     * @param eventLoops threads for input and output
     * @param bufferedBodyBytes bytes of all request bodies held at once
     * @param sampleBodyBytes bytes of sample bodies held for other entries
     * @param drainMilliseconds how long a drain waits for requests in progress
     */
    public record Limits(int eventLoops, long bufferedBodyBytes, long sampleBodyBytes, long drainMilliseconds) {
        /**
         * Returns the sizes of a small host.
         *
         * @return the sizes
         */
        public static Limits standard() {
            return new Limits(2, 16_777_216, 16_777_216, 120_000);
        }
    }

    /**
     * Reads the settings.
     *
     * @param file JSON with comments
     * @return the settings
     * @throws SettingsException if the file cannot be read or a setting is missing
     */
    public static EntrySettings read(Path file) {
        ObjectMapper mapper = new ObjectMapper().enable(JsonParser.Feature.ALLOW_COMMENTS);
        JsonNode json;
        try {
            json = mapper.readTree(Files.readAllBytes(file));
        } catch (IOException failure) {
            throw new SettingsException(ErrorCode.SETTINGS_UNREADABLE, file + " cannot be read", failure);
        }
        List<String> controls = new ArrayList<>();
        json.path("controlAddresses").forEach(address -> controls.add(address.asText()));
        Limits standard = Limits.standard();
        Limits limits = new Limits(
                json.path("eventLoops").asInt(standard.eventLoops()),
                json.path("bufferedBodyBytes").asLong(standard.bufferedBodyBytes()),
                json.path("sampleBodyBytes").asLong(standard.sampleBodyBytes()),
                json.path("drainMilliseconds").asLong(standard.drainMilliseconds()));
        return new EntrySettings(
                HostName.of(text(json, "name")),
                FailureDomain.of(text(json, "failureDomain")),
                text(json, "callerAddress"),
                text(json, "peerAddress"),
                text(json, "adminAddress"),
                controls,
                text(json, "clusterSecret"),
                limits);
    }

    private static String text(JsonNode json, String name) {
        JsonNode value = json.path(name);
        if (!value.isTextual()) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, "/" + name + ": a text is needed");
        }
        return value.textValue();
    }

    @Override
    public String toString() {
        return "EntrySettings[" + name + ", " + callerAddress + "]";
    }
}
