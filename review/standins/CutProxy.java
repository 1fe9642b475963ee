import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A proxy before one address. While it is cut, it stops carrying bytes both ways and says nothing. */
final class CutProxy {
    private final ServerSocket server;
    private final int target;
    private boolean cut;

    CutProxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        LineServer.daemon(this::acceptAll);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void setCut(boolean newCut) {
        cut = newCut;
        notifyAll();
    }

    private synchronized void awaitLink() throws IOException {
        while (cut) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket client = server.accept();
                LineServer.daemon(() -> carry(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void carry(Socket client) {
        Socket replica = new Socket();
        try {
            awaitLink();
            replica.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1000);
            LineServer.daemon(() -> copy(replica, client));
            copy(client, replica);
        } catch (IOException e) {
            close(client);
            close(replica);
        }
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[16384];
            for (int length = in.read(bytes); length >= 0; length = in.read(bytes)) {
                awaitLink();
                out.write(bytes, 0, length);
            }
        } catch (IOException e) {
            // closed below
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return;
        }
    }
}
