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

/** Forwards connections; {@link #silence} drops all bytes of the open ones but closes nothing. */
final class SilencingForwarder implements AutoCloseable {
  private final ServerSocket server;
  private final int target;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final Queue<AtomicBoolean> open = new ConcurrentLinkedQueue<>();

  SilencingForwarder(int target) throws IOException {
    this.target = target;
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    start(this::acceptAll);
  }

  int port() {
    return server.getLocalPort();
  }

  void silence() {
    open.forEach(silent -> silent.set(true));
  }

  private void acceptAll() throws IOException {
    while (!server.isClosed()) {
      Socket from = server.accept();
      Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
      sockets.add(from);
      sockets.add(to);
      AtomicBoolean silent = new AtomicBoolean();
      open.add(silent);
      start(() -> copy(from, to, silent));
      start(() -> copy(to, from, silent));
    }
  }

  private static void copy(Socket from, Socket to, AtomicBoolean silent) throws IOException {
    InputStream in = from.getInputStream();
    OutputStream out = to.getOutputStream();
    byte[] buffer = new byte[4_096];
    int count;
    while ((count = in.read(buffer)) >= 0) {
      if (!silent.get()) {
        out.write(buffer, 0, count);
      }
    }
  }

  private static void start(Copying task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException ignored) {
                // The test has closed a socket.
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

  private interface Copying {
    void run() throws IOException;
  }
}
