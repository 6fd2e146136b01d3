package io.heatherloft.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for a backend server whose responses end with their connection, wherever they are then.
 *
 * <p>Safe for use by several threads.
 */
public final class ClosingServerStandIn implements AutoCloseable {
    private static final Pattern ATTEMPT_ID = Pattern.compile("(?i)x-attempt-id: *([^\r\n]+)");
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");

    private final ServerSocket listening;
    private final UnaryOperator<String> responses;
    private final AtomicInteger requests = new AtomicInteger();

    /** Starts a server that sends the same stream in each response, with neither a length nor chunks. */
    public ClosingServerStandIn(String body) {
        this(id -> head("200 OK", id, "Content-Type: text/event-stream\r\n") + body);
    }

    /**
     * Starts a server.
     *
     * @param responses returns all that is sent in reply to the request with the given ID, which need not be a whole response
     */
    public ClosingServerStandIn(UnaryOperator<String> responses) {
        this.responses = responses;
        try {
            this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns a whole head of a response, with further header lines. */
    public static String head(String status, String id, String fields) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id
                + "\r\nX-Runner-Seal: closing.seal\r\nX-Hint-Confidence: 90\r\n" + fields + "\r\n";
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
        Matcher length = CONTENT_LENGTH.matcher(request);
        socket.getInputStream().skipNBytes(length.find() ? Long.parseLong(length.group(1)) : 0);
        requests.incrementAndGet();
        Matcher id = ATTEMPT_ID.matcher(request);
        String response = responses.apply(id.find() ? id.group(1) : "");
        socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
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
