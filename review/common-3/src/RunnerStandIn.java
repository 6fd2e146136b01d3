import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A runner: answers 421 to requests for another one and lets a behaviour handle the others. Thread-safe. */
final class RunnerStandIn {
    /** Handles one request whose body has not been read; returns false to close the connection. */
    interface Behaviour {
        boolean handle(RunnerStandIn runner, Http.Head head, InputStream in, OutputStream out) throws Exception;
    }

    private final String id;
    private final ServerSocket listener;
    private final Behaviour behaviour;
    private final int receiveBuffer;

    RunnerStandIn(String id, String ip, Behaviour behaviour) throws IOException {
        this(id, ip, 0, behaviour);
    }

    /** Creates a runner whose sockets have a receive buffer of the given size; 0 for the system's default. */
    RunnerStandIn(String id, String ip, int receiveBuffer, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        this.receiveBuffer = receiveBuffer;
        this.listener = new ServerSocket();
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 256);
        Threads.start(this::accept);
    }

    String id() {
        return id;
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Returns the runner's entry in the store. */
    String entry(String service, String zone, String version, int slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + System.currentTimeMillis() + "}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), receiveBuffer > 0 ? receiveBuffer : 8192);
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                if (head.header("x-expect-runner").isEmpty() || head.header("x-expect-runner").equals(id)) {
                    open = behaviour.handle(this, head, in, out);
                } else {
                    Http.readBody(head, in);
                    out.write(Http.ascii("HTTP/1.1 421 Misdirected Request\r\nX-Runner-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n"));
                    out.flush();
                }
            }
        }
    }

    /** Writes a complete, sealed answer. */
    static void answer(OutputStream out, Http.Head head, int status, byte[] body) throws IOException {
        String attempt = head.header("x-attempt-id");
        out.write(Http.ascii("HTTP/1.1 " + status + " -\r\nX-Attempt-Id: " + attempt + "\r\nX-Runner-Seal: seal-"
                + attempt + "\r\nKeep-Alive: timeout=30\r\nContent-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
        out.flush();
    }
}
