package io.heatherloft.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for a backend server whose streamed responses have neither a length nor chunks and end with their connection.
 *
 * <p>Safe for use by several threads.
 */
public final class ClosingServerStandIn implements AutoCloseable {
    private static final Pattern ATTEMPT_ID = Pattern.compile("(?i)x-attempt-id: *([^\r\n]+)");

    private final ServerSocket listening;
    private final String body;
    private final AtomicInteger requests = new AtomicInteger();

    /** Starts a server that sends the same body in each response. */
    public ClosingServerStandIn(String body) {
        this.body = body;
        try {
            this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listening.getLocalPort();
    }

    /** Returns the number of requests received. */
    public int requests() {
        return requests.get();
    }

    private void serve() {
        while (!listening.isClosed()) {
            try (Socket socket = listening.accept()) {
                respond(socket);
            } catch (IOException exception) {
                System.err.println("closing server: " + exception.getMessage());
            }
        }
    }

    private void respond(Socket socket) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return;
            }
            request.append((char) next);
        }
        byte[] _requestBody = socket.getInputStream().readNBytes("hello".length());
        requests.incrementAndGet();
        Matcher matcher = ATTEMPT_ID.matcher(request);
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + (matcher.find() ? matcher.group(1) : "")
                + "\r\nX-Runner-Seal: closing.seal\r\nX-Hint-Confidence: 90\r\nContent-Type: text/event-stream\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() {
        try {
            listening.close();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
