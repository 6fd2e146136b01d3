package io.heatherloft.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for a faulty backend server that writes a refusal a second time.
 *
 * <p>It refuses the first request on each connection. It runs each further one, but writes the refusal or its beginning once
 * more before the response. Safe for use by several threads.
 */
public final class RefusalRepeatingStandIn implements AutoCloseable {
    private static final Pattern ATTEMPT_ID = Pattern.compile("(?i)x-attempt-id: *([^\r\n]+)");
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");
    private static final String FLAG = "X-Not-Executed: 1";
    private static final long RUN_MILLIS = 100L;
    private static final long SOON_MILLIS = 3L;

    private final ServerSocket listening;
    private final Repetition repetition;
    private final List<String> executed = new CopyOnWriteArrayList<>();

    /** How a refusal is written the second time. */
    public enum Repetition {
        /** As the first time. */
        UNCHANGED,
        /** Without the ID of the request. */
        WITHOUT_ID,
        /** Without the ID of the request, and with a request for rest. */
        WITHOUT_ID_AND_WITH_REST,
        /** Cut off inside the value of its flag, together with the refusal. */
        CUT_OFF_AT_ONCE,
        /** Cut off inside the value of its flag, soon after the refusal. */
        CUT_OFF_SOON,
        /** Cut off inside the value of its flag, once the next request has arrived. */
        CUT_OFF_LATE
    }

    /** Starts a server. */
    public RefusalRepeatingStandIn(Repetition repetition) {
        this.repetition = repetition;
        try {
            this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
        startThread(this::accept);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listening.getLocalPort();
    }

    /** Returns the IDs of the requests that were run, in order. */
    public List<String> executed() {
        return List.copyOf(executed);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                startThread(() -> serve(socket));
            } catch (IOException exception) {
                System.err.println("refusal-repeating server: " + exception.getMessage());
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String first = readRequest(socket);
            String refusal = refusalOf(first, Repetition.UNCHANGED);
            String cutOff = refusal.substring(0, refusal.indexOf(FLAG) + FLAG.length());
            write(socket, refusal + (repetition == Repetition.CUT_OFF_AT_ONCE ? cutOff : ""));
            if (repetition == Repetition.CUT_OFF_SOON) {
                Thread.sleep(SOON_MILLIS);
                write(socket, cutOff);
            }
            while (true) {
                String id = readRequest(socket);
                executed.add(id);
                write(
                        socket,
                        switch (repetition) {
                            case UNCHANGED, WITHOUT_ID, WITHOUT_ID_AND_WITH_REST -> refusalOf(first, repetition);
                            case CUT_OFF_LATE -> cutOff;
                            case CUT_OFF_AT_ONCE, CUT_OFF_SOON -> "";
                        });
                Thread.sleep(RUN_MILLIS);
                write(
                        socket,
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                                + "\r\nX-Runner-Seal: repeating.seal\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone");
            }
        } catch (IOException exception) {
            System.err.println("refusal-repeating server: " + exception.getMessage());
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static String refusalOf(String id, Repetition form) {
        String idLine = form == Repetition.UNCHANGED ? "X-Attempt-Id: " + id + "\r\n" : "";
        String restLine = form == Repetition.WITHOUT_ID_AND_WITH_REST ? "Retry-After: 30\r\n" : "";
        return "HTTP/1.1 503 Service Unavailable\r\n" + FLAG + "\r\n" + idLine + restLine
                + "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
    }

    private static String readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("connection was closed");
            }
            head.append((char) next);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        byte[] _body = socket.getInputStream().readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        Matcher id = ATTEMPT_ID.matcher(head);
        return id.find() ? id.group(1) : "";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
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
