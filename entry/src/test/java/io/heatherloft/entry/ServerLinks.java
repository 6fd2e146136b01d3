package io.heatherloft.entry;

import io.heatherloft.ports.http.SocketAddresses;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The network between one host and the backend servers, which can be cut. Each connection is relayed by threads of its own.
 *
 * <p>Safe for use by several threads.
 */
final class ServerLinks implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;

    private final Map<String, ServerSocket> listeners = new ConcurrentHashMap<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger openConnections = new AtomicInteger();
    private final List<Socket> queued = new ArrayList<>();
    private ServerSocket unresponsive;
    private volatile Mode mode = Mode.UP;

    /** What happens to connections. */
    enum Mode {
        /** All connections work. */
        UP,
        /** Connections are reset, and new ones refused. */
        RESET,
        /** Connections carry nothing more, and new ones are never established. */
        HANGING,
        /** Connections work, and new ones are refused. */
        NEW_REFUSED
    }

    /** Returns the address that stands for that of a backend server. */
    InetSocketAddress addressOf(String serverAddress) {
        try {
            return switch (mode) {
                case UP -> new InetSocketAddress(
                        InetAddress.getLoopbackAddress(),
                        listeners.computeIfAbsent(serverAddress, this::listen).getLocalPort());
                case HANGING -> unresponsiveAddress();
                case RESET, NEW_REFUSED -> new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), EntryHostHarness.freePort());
            };
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    void set(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.RESET) {
            sockets.forEach(ServerLinks::reset);
            sockets.clear();
        }
    }

    /** Returns the number of connections that were established. */
    int connections() {
        return connections.get();
    }

    /** Returns the number of established connections that the host has not closed. */
    int openConnections() {
        return openConnections.get();
    }

    // A full accept queue drops further attempts to connect.
    private synchronized InetSocketAddress unresponsiveAddress() throws IOException {
        if (unresponsive == null) {
            unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            for (int index = 0; index < 2; index++) {
                queued.add(new Socket(InetAddress.getLoopbackAddress(), unresponsive.getLocalPort()));
            }
        }
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), unresponsive.getLocalPort());
    }

    private ServerSocket listen(String serverAddress) {
        try {
            ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            startThread(() -> accept(listener, SocketAddresses.parse(serverAddress)));
            return listener;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private void accept(ServerSocket listener, InetSocketAddress server) {
        try {
            while (true) {
                Socket near = listener.accept();
                Socket far = new Socket(server.getAddress(), server.getPort());
                connections.incrementAndGet();
                sockets.add(near);
                sockets.add(far);
                openConnections.incrementAndGet();
                startThread(() -> {
                    copy(near, far);
                    openConnections.decrementAndGet();
                });
                startThread(() -> copy(far, near));
            }
        } catch (IOException _closed) {
            // The links were closed.
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (mode != Mode.HANGING) {
                    output.write(buffer, 0, count);
                }
            }
            to.shutdownOutput();
        } catch (IOException _reset) {
            reset(from);
            reset(to);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException _closed) {
            // Closed already.
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "server-link");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        sockets.forEach(ServerLinks::reset);
        queued.forEach(ServerLinks::reset);
        listeners.values().forEach(ServerLinks::close);
        if (unresponsive != null) {
            close(unresponsive);
        }
    }

    private static void close(ServerSocket listener) {
        try {
            listener.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
