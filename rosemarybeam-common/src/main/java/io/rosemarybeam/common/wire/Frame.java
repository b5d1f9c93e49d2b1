package io.rosemarybeam.common.wire;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.MessageToMessageEncoder;
import io.netty.handler.codec.TooLongFrameException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;

/**
 * One frame: {@code u32 length | u8 version | u16 type | u64 correlation | payload}. Immutable.
 *
 * @param type number of the message type; zero for a heartbeat
 * @param correlation zero for a message without reply, positive for a request; the reply has the negated value
 * @param payload the encoded message
 */
record Frame(int type, long correlation, byte[] payload) {
    /** Version of the protocol. */
    static final int VERSION = 1;

    /** Maximum payload size, in bytes. */
    static final int MAXIMUM_PAYLOAD_BYTES = 8 * 1024 * 1024;

    /** Type number of a heartbeat. */
    static final int HEARTBEAT_TYPE = 0;

    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 1 + 2 + 8;

    /** Encodes frames. Wraps the payload without a copy. Confined to the event loop of its connection. */
    static final class Encoder extends MessageToMessageEncoder<Frame> {
        @Override
        protected void encode(ChannelHandlerContext context, Frame frame, List<Object> out) {
            ByteBuf header = Unpooled.buffer(LENGTH_BYTES + HEADER_BYTES)
                    .writeInt(HEADER_BYTES + frame.payload.length)
                    .writeByte(VERSION)
                    .writeShort(frame.type)
                    .writeLong(frame.correlation);
            out.add(Unpooled.wrappedBuffer(header, Unpooled.wrappedBuffer(frame.payload)));
        }
    }

    /** Decodes frames. Confined to the event loop of its connection. */
    static final class Decoder extends ByteToMessageDecoder {
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            if (in.readableBytes() < LENGTH_BYTES) {
                return;
            }
            int length = in.getInt(in.readerIndex());
            if (length < HEADER_BYTES || length > HEADER_BYTES + MAXIMUM_PAYLOAD_BYTES) {
                throw new TooLongFrameException("frame of " + length + " bytes is not accepted");
            }
            if (in.readableBytes() < LENGTH_BYTES + length) {
                return;
            }
            in.skipBytes(LENGTH_BYTES);
            int version = in.readUnsignedByte();
            if (version != VERSION) {
                throw new WireException(ErrorCode.FRAME_INVALID, "unsupported protocol version " + version);
            }
            int type = in.readUnsignedShort();
            long correlation = in.readLong();
            byte[] payload = new byte[length - HEADER_BYTES];
            in.readBytes(payload);
            out.add(new Frame(type, correlation, payload));
        }
    }
}
