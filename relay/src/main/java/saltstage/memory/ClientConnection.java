package saltstage.memory;

import java.io.IOException;
import java.net.Socket;
import saltstage.wire.LineConnection;

/** The client's side of the relay. */
public final class ClientConnection extends LineConnection {
    /** Wraps an accepted socket. */
    public ClientConnection(Socket socket) throws IOException {
        super(socket);
    }
}
