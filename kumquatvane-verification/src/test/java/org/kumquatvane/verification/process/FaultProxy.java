package org.kumquatvane.verification.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Forwards TCP connections to one port and injects faults, which can be changed at any time.
 *
 * <p>A blocked direction holds its bytes and delivers them once it is unblocked, as TCP does after
 * a network partition. A blackholed connection delivers nothing further, not even its end.
 */
public final class FaultProxy implements AutoCloseable {
  private final ServerSocket listener;
  private final int targetPort;
  private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private boolean blocksToTarget;
  private boolean blocksToCaller;
  private long delayMillis;
  private boolean repeatsResponses;

  public FaultProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    listener = new ServerSocket(Ports.findFree(), 1_000, InetAddress.getLoopbackAddress());
    start("accept", this::accept);
  }

  public int port() {
    return listener.getLocalPort();
  }

  public void block(boolean toTarget, boolean toCaller) {
    changeFaults(
        () -> {
          blocksToTarget = toTarget;
          blocksToCaller = toCaller;
        });
  }

  public void setDelay(long millis) {
    changeFaults(() -> delayMillis = millis);
  }

  /**
   * Writes the bytes sent to the caller since its last request once more when its next request
   * arrives, and then forwards that request.
   */
  void repeatResponses() {
    changeFaults(() -> repeatsResponses = true);
  }

  /** Blackholes the open connections permanently; new connections work. */
  public void blackholeOpenConnections() {
    changeFaults(() -> connections.forEach(connection -> connection.isBlackholed = true));
  }

  /** Resets the open connections in both directions. */
  public void resetOpenConnections() {
    for (ProxiedConnection connection : connections) {
      for (Socket socket : List.of(connection.caller, connection.target)) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException ignored) {
          // The connection was closed meanwhile.
        }
      }
    }
    connections.clear();
  }

  /**
   * Half-closes the open connections: ends the direction to the callers and keeps the other one.
   */
  void halfCloseTowardsCallers() throws IOException {
    for (ProxiedConnection connection : connections) {
      connection.caller.shutdownOutput();
    }
  }

  int openConnections() {
    return connections.size();
  }

  private void changeFaults(Runnable action) {
    lock.lock();
    try {
      action.run();
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket caller = listener.accept();
        Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        caller.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        ProxiedConnection connection = new ProxiedConnection(caller, target);
        connections.add(connection);
        start("to-target", () -> forward(connection, true));
        start("to-caller", () -> forward(connection, false));
      } catch (IOException ignored) {
        // The target refused, or the proxy is closed.
      }
    }
  }

  private void forward(ProxiedConnection connection, boolean toTarget) {
    Socket from = toTarget ? connection.caller : connection.target;
    Socket to = toTarget ? connection.target : connection.caller;
    byte[] buffer = new byte[16_384];
    try {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        byte[] bytes = Arrays.copyOf(buffer, count);
        awaitUnblocked(connection, toTarget);
        if (!toTarget) {
          connection.response.writeBytes(bytes);
        } else if (repeatsResponses) {
          connection.caller.getOutputStream().write(connection.response.toByteArray());
          connection.response.reset();
        }
        output.write(bytes);
        output.flush();
      }
      awaitUnblocked(connection, toTarget);
      to.shutdownOutput();
    } catch (IOException e) {
      closeQuietly(connection);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (connection.caller.isOutputShutdown() && connection.target.isOutputShutdown()) {
      closeQuietly(connection);
    }
  }

  private void awaitUnblocked(ProxiedConnection connection, boolean toTarget)
      throws IOException, InterruptedException {
    long delay;
    lock.lock();
    try {
      while (connection.isBlackholed || (toTarget ? blocksToTarget : blocksToCaller)) {
        changed.await();
        if (listener.isClosed()) {
          throw new IOException("the proxy is closed");
        }
      }
      delay = delayMillis;
    } finally {
      lock.unlock();
    }
    Thread.sleep(delay);
  }

  private void closeQuietly(ProxiedConnection connection) {
    connections.remove(connection);
    try {
      connection.caller.close();
      connection.target.close();
    } catch (IOException ignored) {
      // The connection is already closed.
    }
  }

  private static void start(String name, Runnable task) {
    Thread thread = new Thread(task, "fault-proxy-" + name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    changeFaults(() -> {});
    connections.forEach(this::closeQuietly);
  }

  /** The two sockets of one forwarded connection. */
  private static final class ProxiedConnection {
    final Socket caller;
    final Socket target;
    final ByteArrayOutputStream response = new ByteArrayOutputStream();
    volatile boolean isBlackholed;

    ProxiedConnection(Socket caller, Socket target) {
      this.caller = caller;
      this.target = target;
    }
  }
}
