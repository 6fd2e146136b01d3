package io.heatherloft.entry;

import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;

/**
 * Handles SIGHUP, which would otherwise terminate the process.
 *
 * <p>The JDK's signal API is not part of the Java platform specification and is therefore called by reflection.
 * Stateless and safe for use by several threads.
 */
final class HangupSignal {
    private HangupSignal() {}

    /** Runs the task on each SIGHUP, on a thread of the JDK. */
    @SuppressWarnings("ProxyNonConstantType") // The interface is not available at compile time.
    static void handle(Runnable task) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(),
                    new Class<?>[] {handlerClass},
                    (_proxy, method, _arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object signal = signalClass.getConstructor(String.class).newInstance("HUP");
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException exception) {
            LogManager.getLogger(HangupSignal.class).error("cannot install the SIGHUP handler", exception);
        }
    }
}
