package io.rosemarybeam.common.settings;

import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;

/**
 * Handlers of the signals that operators send to a server program.
 *
 * <p>They are installed by reflection, because direct use of sun.misc.Signal fails to compile under {@code -Werror}. Invariant:
 * none of the handled signals ends the process as a failure once {@link #install} has returned. Safe for use by several threads.
 */
final class ProcessSignals {
    private static final EventLog LOG = EventLog.of(ProcessSignals.class);

    /** One permit for each SIGHUP that {@link SettingsFileWatcher} has not processed. */
    private static final Semaphore HANG_UPS = new Semaphore(0);

    private ProcessSignals() {}

    /**
     * Installs the handlers. SIGTERM and SIGINT end the process with exit code 0 once its shutdown hooks have run; the Java
     * runtime would exit with 143 or 130, which supervisors take for a failure. SIGHUP, which would end a process that is still
     * loading its settings, is counted until they can be loaded again.
     */
    static void install() {
        handle("TERM", () -> System.exit(0));
        handle("INT", () -> System.exit(0));
        handle("HUP", HANG_UPS::release);
    }

    /** Returns the signals to load the settings again; each has one permit. */
    static Semaphore hangUps() {
        return HANG_UPS;
    }

    /** Installs a handler. A platform without the signal keeps its own reaction to it, which is logged. */
    private static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    ProcessSignals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        action.run();
                        return null;
                    });
            Object installed = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, installed, proxy);
        } catch (ReflectiveOperationException unsupported) {
            LOG.log(Event.SETTINGS_REFUSED, unsupported, "reason", "SIG" + name + " cannot be handled");
        }
    }
}
