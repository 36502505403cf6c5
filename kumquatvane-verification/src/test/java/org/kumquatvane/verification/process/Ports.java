package org.kumquatvane.verification.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Finds free ports on loopback. */
public final class Ports {
  // Below the ephemeral port range of Linux, so that no outgoing connection takes a free port
  // before
  // the process that is assigned the port listens on it.
  private static final int FIRST_PORT = 20_000;
  private static final int PORT_COUNT = 10_000;

  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORT_COUNT));

  private Ports() {}

  public static int findFree() {
    for (int i = 0; i < PORT_COUNT; i++) {
      int port = FIRST_PORT + NEXT.getAndIncrement() % PORT_COUNT;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException ignored) {
        // Another process uses the port.
      }
    }
    throw new IllegalStateException("no free port on loopback");
  }
}
