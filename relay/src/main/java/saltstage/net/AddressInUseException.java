package saltstage.net;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Another socket, usually of another process, already listens on the address. */
public final class AddressInUseException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates the exception with the error that the operating system reported. */
    public AddressInUseException(InetSocketAddress address, Throwable cause) {
        super("cannot listen on " + address + ": " + cause.getMessage(), cause);
    }
}
