package saltstage.coordinator.model;

import java.net.InetSocketAddress;

/** Formats addresses as HOST:PORT, the form used by settings, the API and the log. */
public final class HostPort {
    private HostPort() {}

    /** Formats an address as HOST:PORT. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
