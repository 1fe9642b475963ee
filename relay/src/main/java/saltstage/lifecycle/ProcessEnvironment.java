package saltstage.lifecycle;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * The settings that a relay reads from its environment variables.
 *
 * @param sharedFolder the folder shared with a process that replaces this one, or null
 * @param adminAddress the address for operator calls, or null to use the configuration's
 * @param inheritsListener whether descriptor 0 is the clients' listening socket
 */
record ProcessEnvironment(
        Path sharedFolder, InetSocketAddress adminAddress, boolean inheritsListener) {
    /** Reads the environment. */
    static ProcessEnvironment of(Map<String, String> environment) throws MalformedException {
        String folder = environment.getOrDefault("TMPDIR", "");
        String admin = environment.getOrDefault("GW_ADMIN", "");
        String descriptor = environment.getOrDefault("GW_LISTEN_FD", "");
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            throw new MalformedException(
                    "GW_LISTEN_FD: only descriptor 0 can be taken over, not '" + descriptor + "'");
        }
        try {
            return new ProcessEnvironment(
                    folder.isEmpty() ? null : Path.of(folder, "saltstage"),
                    admin.isEmpty() ? null : BackendList.parseAddress(admin),
                    !descriptor.isEmpty());
        } catch (MalformedException malformed) {
            throw new MalformedException("GW_ADMIN: " + malformed.getMessage());
        }
    }
}
