package org.kumquatvane.peering;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** TCP proxy that ends each connection after a number of bytes in one direction. */
final class CuttingProxy implements AutoCloseable {
  private final ServerSocket server;
  private final int targetPort;
  private final Direction direction;
  private final int limit;
  private final boolean resets;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private volatile boolean hasCut;

  /** Direction whose bytes are counted. */
  enum Direction {
    TO_TARGET,
    FROM_TARGET
  }

  CuttingProxy(int targetPort, Direction direction, int limit, boolean resets) throws IOException {
    this.targetPort = targetPort;
    this.direction = direction;
    this.limit = limit;
    this.resets = resets;
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    start(this::acceptAll);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Returns whether a connection has been ended after the given number of bytes. */
  boolean hasCut() {
    return hasCut;
  }

  private void acceptAll() throws IOException {
    while (!server.isClosed()) {
      Socket from = server.accept();
      Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
      sockets.add(from);
      sockets.add(to);
      start(() -> copy(from, to, Direction.TO_TARGET));
      start(() -> copy(to, from, Direction.FROM_TARGET));
    }
  }

  private void copy(Socket from, Socket to, Direction copied) throws IOException {
    InputStream in = from.getInputStream();
    OutputStream out = to.getOutputStream();
    int left = copied == direction ? limit : Integer.MAX_VALUE;
    byte[] buffer = new byte[4_096];
    int count;
    while (left > 0 && (count = in.read(buffer)) >= 0) {
      out.write(buffer, 0, Math.min(count, left));
      left -= Math.min(count, left);
    }
    for (Socket socket : new Socket[] {to, from}) {
      socket.setSoLinger(resets, 0);
      socket.close();
    }
    hasCut = hasCut || left == 0;
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
