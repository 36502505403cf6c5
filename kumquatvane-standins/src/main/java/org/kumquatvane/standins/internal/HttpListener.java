package org.kumquatvane.standins.internal;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ConnectionObserver;
import io.servicetalk.transport.api.ServerContext;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** A listening socket on loopback that can be closed and opened again on the same port. */
public final class HttpListener implements AutoCloseable {
  private final StreamingHttpService service;
  private final int maximumConnections;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger peakConnections = new AtomicInteger();
  private int port;
  private @Nullable ServerContext context;

  /**
   * Opens a listening socket.
   *
   * @param port port on 127.0.0.1, 0 for a free one
   * @param maximumConnections connections beyond this number are closed at once
   * @param service handles the requests
   */
  public HttpListener(int port, int maximumConnections, StreamingHttpService service) {
    this.service = service;
    this.maximumConnections = maximumConnections;
    this.port = port;
    open();
  }

  /** Opens the listening socket if it is closed. */
  public synchronized void open() {
    if (context != null) {
      return;
    }
    try {
      ServerContext opened =
          HttpServers.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .executionStrategy(HttpExecutionStrategies.offloadNone())
              .transportObserver((local, remote) -> new ConnectionCounter())
              .appendEarlyConnectionAcceptor(
                  connection ->
                      connections.get() > maximumConnections
                          ? Completable.failed(
                              new IllegalStateException("connection limit reached"))
                          : Completable.completed())
              .listenStreamingAndAwait(service);
      context = opened;
      port = ((InetSocketAddress) opened.listenAddress()).getPort();
    } catch (Exception e) {
      throw new IllegalStateException("cannot listen on 127.0.0.1:" + port, e);
    }
  }

  /** Counts a connection from its acceptance to its end. */
  private final class ConnectionCounter implements ConnectionObserver {
    ConnectionCounter() {
      peakConnections.accumulateAndGet(connections.incrementAndGet(), Math::max);
    }

    @Override
    public void connectionClosed(Throwable failure) {
      connections.decrementAndGet();
    }

    @Override
    public void connectionClosed() {
      connections.decrementAndGet();
    }
  }

  /** Closes the listening socket and all connections at once. */
  @Override
  public synchronized void close() {
    ServerContext closing = context;
    context = null;
    if (closing != null) {
      closing.closeAsync().subscribe();
    }
  }

  /**
   * Returns the port, which stays the same when the socket is opened again.
   *
   * @return a port on 127.0.0.1
   */
  public synchronized int port() {
    return port;
  }

  /**
   * Returns the number of open connections.
   *
   * @return a count
   */
  public int connections() {
    return connections.get();
  }

  /**
   * Returns the highest number of connections open at once.
   *
   * @return a count
   */
  public int peakConnections() {
    return peakConnections.get();
  }
}
