package io.rosemarybeam.common.wire;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes records as MessagePack arrays and back. Immutable and safe for use by several threads. */
public final class MessageCodec {
    private static final ObjectMapper MAPPER = createMapper();

    private MessageCodec() {}

    /**
     * Encodes a record whose components are themselves records, collections or plain values.
     *
     * @param value the record
     * @return the MessagePack array
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if the record cannot be encoded
     */
    public static byte[] encode(Record value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException failure) {
            throw new WireException(ErrorCode.FRAME_INVALID, "cannot encode " + value.getClass(), failure);
        }
    }

    /**
     * Decodes a record. Components that an older sender omits are null, zero or empty; components that a newer sender
     * appends are ignored.
     *
     * @param payload the MessagePack array
     * @param type class of the record
     * @param <T> class of the record
     * @return the record
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if the payload does not match the record
     */
    public static <T> T decode(byte[] payload, Class<T> type) {
        try {
            return MAPPER.readValue(payload, type);
        } catch (IOException | RuntimeException failure) {
            throw new WireException(ErrorCode.FRAME_INVALID, "cannot decode " + type.getSimpleName(), failure);
        }
    }

    private static ObjectMapper createMapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.setAnnotationIntrospector(new RecordsAsArrays());
        mapper.registerModule(new Jdk8Module());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        return mapper;
    }

    /** Writes records as arrays of their components, except those that declare a format. Stateless. */
    private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {
        private static final long serialVersionUID = 1L;

        @Override
        public JsonFormat.Value findFormat(Annotated annotated) {
            JsonFormat.Value declared = super.findFormat(annotated);
            boolean record = annotated instanceof AnnotatedClass type
                    && type.getRawType().isRecord();
            return declared == null && record ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY) : declared;
        }
    }
}
