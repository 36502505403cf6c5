package org.kumquatvane.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.internal.BackendConnection;
import org.kumquatvane.testing.SimulatedClock;

/**
 * Guards against connections that the pool does not open, or hands out although they are closed.
 */
class BackendConnectionPoolTest {
  private static final long LIMIT_SECONDS = 60;
  private static final int MAXIMUM_CONNECTIONS = 100;
  private static final BackendConnectionSettings SETTINGS =
      new BackendConnectionSettings(
          Duration.ofSeconds(10), Duration.ofSeconds(8), Duration.ofSeconds(6));

  /**
   * An instance that is back must get the next connection attempt, however many have failed: the
   * HTTP library used to fail all attempts for some seconds more without making them.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 5, 20})
  void nextAttemptReachesReturnedInstance(int failedAttempts) throws Exception {
    int port;
    try (ServerSocket free = listen(0)) {
      port = free.getLocalPort();
    }
    SocketEndpoint endpoint = new SocketEndpoint("127.0.0.1", port);
    try (BackendConnectionPool pool =
        new BackendConnectionPool(new SimulatedClock(), SETTINGS, null, extraBytes -> {})) {
      for (int i = 0; i < failedAttempts; i++) {
        Future<BackendConnection> refused = open(pool, endpoint);
        assertThrows(ExecutionException.class, () -> refused.get(LIMIT_SECONDS, TimeUnit.SECONDS));
      }
      try (ServerSocket returned = listen(port)) {
        assertNotNull(
            open(pool, endpoint).get(LIMIT_SECONDS, TimeUnit.SECONDS), returned::toString);
      }
    }
  }

  /**
   * An idle connection that the instance has closed, or on which it has sent bytes that belong to
   * no response, must not carry the next request. An unsafe request would be lost on it.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"})
  void unusableIdleConnectionIsNotReused(String lateBytes) throws Exception {
    try (ServerSocket instance = listen(0);
        BackendConnectionPool pool =
            new BackendConnectionPool(new SimulatedClock(), SETTINGS, null, extraBytes -> {})) {
      SocketEndpoint endpoint = new SocketEndpoint("127.0.0.1", instance.getLocalPort());
      Future<BackendConnection> opening = open(pool, endpoint);
      try (Socket accepted = instance.accept()) {
        BackendConnection connection = opening.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        pool.release(endpoint, connection, Optional.empty());
        accepted.getOutputStream().write(lateBytes.getBytes(StandardCharsets.US_ASCII));
        if (lateBytes.isEmpty()) {
          accepted.close();
        }
        connection.onClose().toFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(Optional.empty(), pool.acquireIdle(endpoint, true));
      }
    }
  }

  /** An idle connection that a request may not use must not keep it from opening its own. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void idleConnectionMakesRoomAtTheMaximum(boolean isIdle) throws Exception {
    try (ServerSocket instance = listen(0);
        BackendConnectionPool pool =
            new BackendConnectionPool(new SimulatedClock(), SETTINGS, null, extraBytes -> {})) {
      SocketEndpoint endpoint = new SocketEndpoint("127.0.0.1", instance.getLocalPort());
      BackendConnection connection =
          pool.open(endpoint, 1).orElseThrow().toFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
      if (isIdle) {
        pool.release(endpoint, connection, Optional.empty());
      }
      assertEquals(isIdle, pool.open(endpoint, 1).isPresent());
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    return socket;
  }

  private static Future<BackendConnection> open(
      BackendConnectionPool pool, SocketEndpoint endpoint) {
    return pool.open(endpoint, MAXIMUM_CONNECTIONS).orElseThrow().toFuture();
  }
}
