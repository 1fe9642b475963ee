package saltstage.lab.amqp;

import java.util.Map;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.codec.CodecFactory;
import org.apache.qpid.protonj2.codec.Decoder;
import org.apache.qpid.protonj2.codec.Encoder;
import org.apache.qpid.protonj2.types.messaging.ApplicationProperties;
import org.apache.qpid.protonj2.types.messaging.Data;
import org.apache.qpid.protonj2.types.messaging.Properties;

/** Encodes messages that carry an id, and reads the id of received messages. */
final class MessageCodec {
    private static final ThreadLocal<Encoder> ENCODER =
            ThreadLocal.withInitial(CodecFactory::getDefaultEncoder);
    private static final ThreadLocal<Decoder> DECODER =
            ThreadLocal.withInitial(CodecFactory::getDefaultDecoder);

    private MessageCodec() {}

    /** Encodes a message with this id and a body of {@code size} bytes. */
    static byte[] encode(String id, int size) {
        Encoder encoder = ENCODER.get();
        ProtonBuffer buffer = ProtonBufferAllocator.defaultAllocator().allocate(64 + size);
        encoder.writeObject(
                buffer,
                encoder.newEncoderState(),
                new ApplicationProperties(Map.of("id", (Object) id)));
        encoder.writeObject(buffer, encoder.newEncoderState(), new Data(new byte[size]));
        byte[] bytes = new byte[buffer.getReadableBytes()];
        buffer.readBytes(bytes, 0, bytes.length);
        return bytes;
    }

    /** Returns the application property {@code id}, else the message id, else null. */
    static String readId(ProtonBuffer message) {
        Decoder decoder = DECODER.get();
        String id = null;
        while (message.isReadable()) {
            Object section = decoder.readObject(message, decoder.newDecoderState());
            if (section instanceof ApplicationProperties properties
                    && properties.getValue().get("id") != null) {
                return properties.getValue().get("id").toString();
            } else if (section instanceof Properties properties
                    && properties.getMessageId() != null) {
                id = properties.getMessageId().toString();
            } else if (section instanceof Data) {
                break;
            }
        }
        return id;
    }
}
