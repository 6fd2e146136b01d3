package io.heatherloft.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Plays the platform around one entry host for a moment, so that a build can record the classes that serving loads.
 *
 * <p>Arguments: the port of the store, the port of a backend server, the port at which the host listens for callers.
 * Runs on the main thread; the stand-ins run on their own loop.
 */
public final class RehearsalMain {
    private static final int EXIT_USAGE = 2;
    private static final int REQUEST_COUNT = 30;
    private static final long ATTEMPT_INTERVAL_MILLIS = 40L;
    private static final int MAX_ATTEMPTS = 60;

    private RehearsalMain() {}

    /** Plays the platform and sends some requests. */
    public static void main(String[] arguments) throws InterruptedException {
        if (arguments.length != 3) {
            System.err.println("usage: RehearsalMain STORE-PORT BACKEND-PORT CALLER-PORT");
            System.exit(EXIT_USAGE);
        }
        int backendPort = Integer.parseInt(arguments[1]);
        StandInLoop loop = new StandInLoop();
        StoreStandIn store = new StoreStandIn(loop.loop());
        loop.run(() -> {
            store.putConfiguration(PlatformFixtures.configuration(1, "k1"));
            store.putBackend("i-1", PlatformFixtures.backendEntry("llm", backendPort, "v1"));
        });
        int _storePort = loop.listen(store, Integer.parseInt(arguments[0]));
        int _backendPort = loop.listen(new RunnerStandIn(loop.loop(), "i-1", 8), backendPort);
        sendRequests(Integer.parseInt(arguments[2]));
        System.exit(0);
    }

    private static void sendRequests(int port) throws InterruptedException {
        int sent = 0;
        for (int tries = 0; tries < MAX_ATTEMPTS && sent < REQUEST_COUNT; tries++) {
            Thread.sleep(ATTEMPT_INTERVAL_MILLIS);
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream()
                        .write(PlatformFixtures.streamRequest("r" + sent, "k1").getBytes(StandardCharsets.UTF_8));
                socket.getInputStream().readNBytes(1);
                sent++;
            } catch (IOException exception) {
                System.err.println("no answer yet: " + exception.getMessage());
            }
        }
    }
}
