package io.rosemarybeam.common.event;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;
import org.apache.logging.log4j.message.AsynchronouslyFormattable;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against log records that are not a single line of JSON or that lack the number or the fields of an event. */
class EventLogTest {
    private static String record(String template, Message message, Throwable failure) {
        JsonTemplateLayout layout = JsonTemplateLayout.newBuilder()
                .setConfiguration(new DefaultConfiguration())
                .setEventTemplateUri("classpath:" + template)
                .build();
        return layout.toSerializable(Log4jLogEvent.newBuilder()
                .setLoggerName("io.rosemarybeam.example")
                .setLevel(Level.WARN)
                .setMessage(message)
                .setThrown(failure)
                .build());
    }

    @Test
    void shouldWriteOneLineWithNumberNameAndFieldsWhenEventIsLogged() throws Exception {
        Message message = EventLog.message(Event.LEASE_LAPSED, List.of("name", "entry-1\n\"x\"", "revision", 7));

        String line = record("rosemarybeam-event.json", message, new IllegalStateException("two\nlines"));

        JsonNode json = new ObjectMapper().readTree(line);
        assertEquals(line.length() - 1, line.indexOf('\n'), line);
        assertTrue(json.get("time").asText().matches("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z"), line);
        assertEquals("WARN", json.get("severity").asText());
        assertEquals(Event.LEASE_LAPSED.number(), json.get("event").asInt());
        assertEquals("LEASE_LAPSED", json.get("name").asText());
        assertEquals("entry-1\n\"x\"", json.get("fields").get("name").asText());
        assertEquals("7", json.get("fields").get("revision").asText());
        assertTrue(json.get("failure").asText().contains("two\nlines"));
    }

    @Test
    void shouldNotFormatTheRecordOnTheCallingThreadWhenItIsQueued() {
        // Guards against event loops that format each record to a text which the layout never uses.
        Message message = EventLog.message(Event.PROCESS_STARTED, List.of());
        assertTrue(message.getClass().isAnnotationPresent(AsynchronouslyFormattable.class));
    }

    @Test
    void shouldLeaveOutTheFailureWhenThereIsNone() throws Exception {
        JsonNode json = new ObjectMapper()
                .readTree(record("rosemarybeam-event.json", EventLog.message(Event.PROCESS_STARTED, List.of()), null));

        assertFalse(json.has("failure"), json.toString());
    }

    @Test
    void shouldWriteSourceAndTextWhenLibraryLogs() throws Exception {
        JsonNode json =
                new ObjectMapper().readTree(record("rosemarybeam-library.json", new SimpleMessage("slow"), null));

        assertEquals("io.rosemarybeam.example", json.get("source").asText());
        assertEquals("slow", json.get("message").asText());
    }
}
