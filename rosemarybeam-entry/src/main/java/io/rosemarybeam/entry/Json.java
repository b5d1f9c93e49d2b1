package io.rosemarybeam.entry;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RequestException;

/** Reads and writes JSON. Stateless and safe for use by several threads. */
final class Json {
    /** The shared mapper. */
    static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    /** The shared factory for parsers and generators. */
    static final JsonFactory FACTORY = MAPPER.getFactory();

    private Json() {}

    /** Returns the JSON text of a value in UTF-8. */
    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Parses an object.
     *
     * @param body JSON text in UTF-8
     * @return the object
     * @throws RequestException with {@link ErrorCode#REQUEST_INVALID} if the text is not a JSON object
     */
    static ObjectNode readObject(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException failure) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, "the body is not valid JSON", failure);
        }
        throw new RequestException(ErrorCode.REQUEST_INVALID, "the body is not a JSON object");
    }
}
