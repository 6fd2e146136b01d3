package io.heatherloft.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A backend server that answers each request with the start of a response and then sends bytes until the caller closes
 * the connection or a limit is reached.
 *
 * <p>Its counters may be read by any thread.
 */
final class EndlessServer implements AutoCloseable {
    /** Number of bytes after which a connection is closed by the server. */
    static final long MAX_SENT_BYTES = 64L * 1024 * 1024;

    private static final Pattern ATTEMPT_ID = Pattern.compile("(?i)x-attempt-id: *([^\r\n]+)");
    private static final int BLOCK_BYTES = 8_192;

    private final ServerSocket listening;
    private final String headers;
    private final byte[] block;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicLong mostSentBytes = new AtomicLong();

    /**
     * Starts a server.
     *
     * @param headers status line and headers; the header that identifies the attempt is added
     * @param repeated text that is sent without end as the body
     */
    EndlessServer(String headers, String repeated) {
        this.headers = headers;
        this.block = repeated.repeat(1 + BLOCK_BYTES / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
        try {
            this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
        startDaemon(this::acceptConnections);
    }

    int port() {
        return listening.getLocalPort();
    }

    int requests() {
        return requests.get();
    }

    /** Returns the highest number of bytes that were sent on one connection. */
    long mostSentBytes() {
        return mostSentBytes.get();
    }

    private void acceptConnections() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                startDaemon(() -> serve(socket));
            } catch (IOException exception) {
                System.err.println("endless server: " + exception.getMessage());
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            StringBuilder request = new StringBuilder();
            while (request.indexOf("\r\n\r\n") < 0) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    return;
                }
                request.append((char) next);
            }
            requests.incrementAndGet();
            Matcher matcher = ATTEMPT_ID.matcher(request);
            String id = matcher.find() ? matcher.group(1) : "";
            String head = headers + "X-Attempt-Id: " + id + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (long sent = 0; sent < MAX_SENT_BYTES; sent += block.length) {
                socket.getOutputStream().write(block);
                long total = sent + block.length;
                mostSentBytes.accumulateAndGet(total, Math::max);
            }
        } catch (IOException _closedByCaller) {
            // The test looks at the number of bytes sent.
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
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
