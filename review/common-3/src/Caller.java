import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A connection of a caller. */
final class Caller implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    Caller(InetSocketAddress address) throws IOException {
        this(address, 0);
    }

    /** Connects with a receive buffer of the given size; 0 for the system's default. */
    Caller(InetSocketAddress address, int receiveBuffer) throws IOException {
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(address, 1_000);
        in = new BufferedInputStream(socket.getInputStream(), receiveBuffer > 0 ? receiveBuffer : 8192);
    }

    /** Returns the head of a request of the sample configuration. */
    static byte[] head(String method, String path, String id, long deadlineMillis, int bodyLength, String... headers) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer key-1\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        if (bodyLength > 0 || method.equals("POST")) {
            text.append("Content-Length: ").append(bodyLength).append("\r\n");
        }
        return Http.ascii(text.append("\r\n").toString());
    }

    void send(byte[]... parts) throws IOException {
        for (byte[] part : parts) {
            socket.getOutputStream().write(part);
        }
        socket.getOutputStream().flush();
    }

    /** Limits the time of each read. */
    void setTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    InputStream in() {
        return in;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
