package org.apache.qpid.protonj2.engine.impl;

import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.codec.CodecFactory;
import org.apache.qpid.protonj2.codec.Encoder;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.types.transport.Attach;

/**
 * Gives access to the attach that the remote side has sent for a link. The library keeps all of it
 * until the link is detached by both sides and offers no way to release a part of it.
 */
public final class ProtonRemoteAttach {
    private ProtonRemoteAttach() {}

    /** Returns the attach that was received for the link. */
    public static Attach of(Link<?> link) {
        return ((ProtonLink<?>) link).remoteAttach;
    }

    /** Returns the size of the attach when it is encoded as it is sent on to a backend. */
    public static int encodedBytes(Link<?> link) {
        ProtonBuffer buffer = ProtonBufferAllocator.defaultAllocator().allocate();
        Encoder encoder = CodecFactory.getEncoder();
        encoder.writeObject(buffer, encoder.newEncoderState(), of(link));
        int bytes = buffer.getReadableBytes();
        buffer.close();
        return bytes;
    }

    /** Releases the parts of the attach whose size is up to the remote side. */
    public static void release(Link<?> link) {
        of(link).setProperties(null);
        of(link).setUnsettled(null);
        of(link).setOfferedCapabilities(null);
        of(link).setDesiredCapabilities(null);
    }
}
