package io.rosemarybeam.entry;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.rosemarybeam.common.id.WeightVersion;

/**
 * One part of the text that an engine streams. Immutable and safe for use by several threads.
 *
 * @param id id of the attempt, as the endpoint echoes it
 * @param index position of the first token within the answer
 * @param tokenCount number of tokens of the part
 * @param text the part
 * @param version weight version that produced it
 */
record ModelChunk(String id, int index, int tokenCount, String text, Optional<WeightVersion> version) {
    /**
     * Parses a chunk.
     *
     * @param buffer holds the JSON text in UTF-8
     * @param offset offset of its first byte
     * @param length its length in bytes
     * @return the chunk
     * @throws IOException if the text is malformed
     */
    static ModelChunk parse(byte[] buffer, int offset, int length) throws IOException {
        String id = "";
        String text = "";
        int index = 0;
        int tokenCount = 0;
        long version = -1;
        try (JsonParser parser = Json.FACTORY.createParser(buffer, offset, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("a chunk is not a JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "id" -> id = parser.getValueAsString("");
                    case "text" -> text = parser.getValueAsString("");
                    case "index" -> index = parser.getIntValue();
                    case "token_count" -> tokenCount = parser.getIntValue();
                    case "weight_version" -> version = value == JsonToken.VALUE_NULL ? -1 : parser.getLongValue();
                    default -> parser.skipChildren();
                }
            }
        }
        if (tokenCount < 0 || index < 0) {
            throw new IOException("a chunk has a negative position or length");
        }
        Optional<WeightVersion> stamped = version < 0 ? Optional.empty() : Optional.of(WeightVersion.of(version));
        return new ModelChunk(id, index, tokenCount, text, stamped);
    }
}
