package io.rosemarybeam.common.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
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
    private static final ObjectWriter STREAM_WRITER = MAPPER.writer().without(JsonGenerator.Feature.AUTO_CLOSE_TARGET);

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
            Optional<byte[]> payload = LargePayload.find(value);
            if (payload.isPresent()) {
                return LargePayload.encode(value, payload.get());
            }
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException failure) {
            throw new WireException(ErrorCode.FRAME_INVALID, "cannot encode " + value.getClass(), failure);
        }
    }

    /**
     * Writes the bytes that {@link #encode} returns to a stream, without a copy of all of them in memory. Beside the record it
     * takes memory for its structure, but not for the content of its texts and arrays of bytes.
     *
     * @param value the record
     * @param target receives the MessagePack array and is not closed
     * @throws IOException if the stream fails
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if the record cannot be encoded
     */
    public static void encode(Record value, OutputStream target) throws IOException {
        try {
            Optional<byte[]> payload = LargePayload.find(value);
            if (payload.isPresent()) {
                target.write(LargePayload.encodeHead(value, payload.get().length));
                target.write(payload.get());
            } else {
                STREAM_WRITER.writeValue(target, value);
            }
        } catch (JsonProcessingException failure) {
            throw new WireException(ErrorCode.FRAME_INVALID, "cannot encode " + value.getClass(), failure);
        }
    }

    /**
     * Encodes a large record that does not change meanwhile into one array of the exact size. {@link #encode(Record)} collects
     * the bytes in a growing buffer and copies them, which takes two to three times their size; this method encodes the record
     * twice instead, first to count the bytes.
     *
     * @param value the record
     * @return the MessagePack array
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if the record cannot be encoded, changes meanwhile or is too
     *     large for an array
     */
    public static byte[] encodeLarge(Record value) {
        try {
            CountingStream counted = new CountingStream();
            encode(value, counted);
            ArrayStream encoded = new ArrayStream(Math.toIntExact(counted.bytes));
            encode(value, encoded);
            return encoded.complete();
        } catch (IOException | ArithmeticException failure) {
            throw new WireException(ErrorCode.FRAME_INVALID, "cannot encode " + value.getClass(), failure);
        }
    }

    /** Counts bytes. Confined to one thread. */
    private static final class CountingStream extends OutputStream {
        private long bytes;

        @Override
        public void write(int value) {
            bytes++;
        }

        @Override
        public void write(byte[] source, int offset, int length) {
            bytes += length;
        }
    }

    /** Fills an array of a fixed size. Confined to one thread. */
    private static final class ArrayStream extends OutputStream {
        private final ByteBuffer target;

        ArrayStream(int size) {
            target = ByteBuffer.allocate(size);
        }

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] source, int offset, int length) throws IOException {
            if (length > target.remaining()) {
                throw new IOException("the record grew while it was encoded");
            }
            target.put(source, offset, length);
        }

        byte[] complete() throws IOException {
            if (target.hasRemaining()) {
                throw new IOException("the record shrank while it was encoded");
            }
            return target.array();
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

    /**
     * Encodes records whose last component is a large array of bytes, such as a message with its encoded content. The general
     * encoder copies such an array four times, and a log entry passes it twice for each receiver. Stateless.
     */
    private static final class LargePayload {
        /** Minimum size of a payload that is encoded here, in bytes; smaller ones are encoded faster in general. */
        private static final int MINIMUM_BYTES = 4_096;

        private static final int MAXIMUM_COMPONENTS = 15;
        private static final int MAXIMUM_SHORT_BINARY_BYTES = 0xffff;
        private static final byte ARRAY_FORMAT = (byte) 0x90;
        private static final byte SHORT_BINARY_FORMAT = (byte) 0xc5;
        private static final byte LONG_BINARY_FORMAT = (byte) 0xc6;

        /** Accessors of the components of records that end with an array of bytes; empty for other records. */
        private static final ClassValue<List<Method>> ACCESSORS = new ClassValue<>() {
            @Override
            protected List<Method> computeValue(Class<?> type) {
                RecordComponent[] components = type.getRecordComponents();
                boolean isSupported = components.length > 0
                        && components.length <= MAXIMUM_COMPONENTS
                        && components[components.length - 1].getType() == byte[].class
                        && !type.isAnnotationPresent(JsonFormat.class);
                return isSupported ? accessors(components) : List.of();
            }
        };

        private static List<Method> accessors(RecordComponent[] components) {
            return Arrays.stream(components)
                    .map(RecordComponent::getAccessor)
                    .peek(accessor -> accessor.setAccessible(true))
                    .toList();
        }

        static Optional<byte[]> find(Record value) throws IOException {
            List<Method> accessors = ACCESSORS.get(value.getClass());
            if (accessors.isEmpty()) {
                return Optional.empty();
            }
            return Optional.ofNullable((byte[]) read(accessors.getLast(), value))
                    .filter(payload -> payload.length >= MINIMUM_BYTES);
        }

        static byte[] encode(Record value, byte[] payload) throws IOException {
            byte[] head = encodeHead(value, payload.length);
            return ByteBuffer.allocate(head.length + payload.length)
                    .put(head)
                    .put(payload)
                    .array();
        }

        /** Returns everything that precedes the bytes of the payload. */
        static byte[] encodeHead(Record value, int payloadBytes) throws IOException {
            List<Method> accessors = ACCESSORS.get(value.getClass());
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            head.write(ARRAY_FORMAT | accessors.size());
            for (Method accessor : accessors.subList(0, accessors.size() - 1)) {
                head.write(MAPPER.writeValueAsBytes(read(accessor, value)));
            }
            ByteBuffer length = ByteBuffer.allocate(1 + Integer.BYTES);
            if (payloadBytes <= MAXIMUM_SHORT_BINARY_BYTES) {
                length.put(SHORT_BINARY_FORMAT).putShort((short) payloadBytes);
            } else {
                length.put(LONG_BINARY_FORMAT).putInt(payloadBytes);
            }
            head.write(length.array(), 0, length.position());
            return head.toByteArray();
        }

        private static Object read(Method accessor, Record value) throws IOException {
            try {
                return accessor.invoke(value);
            } catch (ReflectiveOperationException failure) {
                throw new IOException("cannot read " + accessor, failure);
            }
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
