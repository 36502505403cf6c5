package org.kumquatvane.cli.serve;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Objects;

/** Handlers of POSIX signals. */
public final class Signals {
  private Signals() {}

  /**
   * Installs a handler by reflection: direct use of {@code sun.misc.Signal}, the only interface to
   * signals, causes a compiler warning that cannot be suppressed, and warnings are errors here.
   *
   * @param name name of the signal without SIG
   * @param handler called on a separate thread for each signal
   * @return false if the process was started with the signal ignored, as by {@code nohup}; the
   *     runtime then never calls the handler
   */
  public static boolean handle(String name, Runnable handler) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handlerType.getClassLoader(),
              new Class<?>[] {handlerType},
              (unused, method, arguments) -> {
                handler.run();
                return null;
              });
      Method install = signalType.getMethod("handle", signalType, handlerType);
      Object previous =
          install.invoke(null, signalType.getConstructor(String.class).newInstance(name), proxy);
      return !Objects.equals(handlerType.getField("SIG_IGN").get(null), previous);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this Java runtime has no module jdk.unsupported", e);
    }
  }
}
