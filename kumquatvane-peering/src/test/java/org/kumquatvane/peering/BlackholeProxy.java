package org.kumquatvane.peering;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * TCP proxy for which {@link #discardTraffic} discards all further bytes of the open connections
 * without closing them.
 */
final class BlackholeProxy implements AutoCloseable {
  private final ServerSocket server;
  private final int targetPort;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final Queue<AtomicBoolean> openConnections = new ConcurrentLinkedQueue<>();

  BlackholeProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    start(this::acceptAll);
  }

  int port() {
    return server.getLocalPort();
  }

  void discardTraffic() {
    openConnections.forEach(discarding -> discarding.set(true));
  }

  private void acceptAll() throws IOException {
    while (!server.isClosed()) {
      Socket from = server.accept();
      Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
      sockets.add(from);
      sockets.add(to);
      AtomicBoolean discarding = new AtomicBoolean();
      openConnections.add(discarding);
      start(() -> copy(from, to, discarding));
      start(() -> copy(to, from, discarding));
    }
  }

  private static void copy(Socket from, Socket to, AtomicBoolean discarding) throws IOException {
    InputStream in = from.getInputStream();
    OutputStream out = to.getOutputStream();
    byte[] buffer = new byte[4_096];
    int count;
    while ((count = in.read(buffer)) >= 0) {
      if (!discarding.get()) {
        out.write(buffer, 0, count);
      }
    }
  }

  private static void start(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException ignored) {
                // Expected when the test closes a socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private interface IoTask {
    void run() throws IOException;
  }
}
