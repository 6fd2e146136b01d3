import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

/** Passes connections on to one address; while it is cut, it resets them. Thread-safe. */
final class CutProxy {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> open = new HashSet<>();
    private boolean cut;

    CutProxy(String ip, String target) throws IOException {
        this.target = new InetSocketAddress(target.split(":")[0], Integer.parseInt(target.split(":")[1]));
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 128);
        Threads.start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Begins or ends the cut. */
    synchronized void setCut(boolean newCut) throws IOException {
        cut = newCut;
        if (cut) {
            for (Socket socket : open) {
                reset(socket);
            }
            open.clear();
        }
    }

    private static void reset(Socket socket) throws IOException {
        if (!socket.isClosed()) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = listener.accept();
            if (isCut()) {
                reset(near);
                continue;
            }
            Socket far = new Socket(target.getAddress(), target.getPort());
            add(near, far);
            Threads.start(() -> pass(near, far));
            Threads.start(() -> pass(far, near));
        }
    }

    private synchronized boolean isCut() {
        return cut;
    }

    private synchronized void add(Socket near, Socket far) {
        open.add(near);
        open.add(far);
    }

    private static void pass(Socket from, Socket to) throws IOException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[65_536];
            int read = in.read(bytes);
            while (read >= 0) {
                out.write(bytes, 0, read);
                read = in.read(bytes);
            }
        }
    }
}
