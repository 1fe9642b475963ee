package saltstage.coordinator.model;

import java.net.InetSocketAddress;

/** Addresses as HOST:PORT, the form that settings, the API and the log use. */
public final class HostPort {
    private HostPort() {}

    /** The text of an address. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
