package org.kumquatvane.cli.serve;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.kumquatvane.cli.ExitCode;

/**
 * Stop requests from SIGTERM and SIGINT: the first begins the planned stop, a second ends the
 * process at once.
 *
 * <p>Shutdown hooks of the JVM would not do: they run beside each other, so the log would close
 * while requests in flight still end, and the exit code could not be chosen.
 */
public final class SignalStopRequests implements StopRequests {
  private final CountDownLatch requested = new CountDownLatch(1);
  private final AtomicBoolean signalled = new AtomicBoolean();

  /** Installs the signal handlers. */
  public SignalStopRequests() {
    handle("TERM");
    handle("INT");
  }

  /**
   * Installs a handler by reflection: direct use of {@code sun.misc.Signal}, the only interface to
   * signals, draws a compiler warning that cannot be suppressed, and warnings are errors here.
   */
  private void handle(String name) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              handlerType.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> {
                received();
                return null;
              });
      Method install = signalType.getMethod("handle", signalType, handlerType);
      install.invoke(null, signalType.getConstructor(String.class).newInstance(name), handler);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this Java runtime has no module jdk.unsupported", e);
    }
  }

  private void received() {
    if (!signalled.compareAndSet(false, true)) {
      Runtime.getRuntime().halt(ExitCode.SECOND_SIGNAL.code());
    }
    request();
  }

  @Override
  public void request() {
    requested.countDown();
  }

  @Override
  public void await() {
    try {
      requested.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
