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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.internal.BackendConnection;
import org.kumquatvane.http.internal.ExpectedResponse;
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
        assertEquals(Optional.empty(), pool.acquireIdle(endpoint, new RequestId("next"), true));
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

  /**
   * A connection that has carried a request must not carry it again, whoever asks for it: a second
   * copy of the first refusal would be taken for the response to the second attempt.
   */
  @ParameterizedTest
  @CsvSource({
    "'', r-1, true, true",
    "r-1, r-1, true, false",
    "r-1, r-1, false, false",
    "r-1, r-2, true, true",
    "r-1 r-2, r-1, false, false",
    "r-1 r-2, r-3, false, true"
  })
  void requestDoesNotReturnToConnectionThatCarriedIt(
      String carried, String request, boolean isRetryable, boolean isReused) throws Exception {
    try (ServerSocket instance = listen(0);
        BackendConnectionPool pool =
            new BackendConnectionPool(new SimulatedClock(), SETTINGS, null, extraBytes -> {})) {
      SocketEndpoint endpoint = new SocketEndpoint("127.0.0.1", instance.getLocalPort());
      BackendConnection connection = open(pool, endpoint).get(LIMIT_SECONDS, TimeUnit.SECONDS);
      for (String id : carried.split(" ", -1)) {
        if (!id.isEmpty()) {
          connection.send(
              new ExpectedResponse(new RequestId(id), false, "x-request-id"),
              requests -> requests.get("/"));
        }
      }
      pool.release(endpoint, connection, Optional.empty());

      Optional<BackendConnection> reused =
          pool.acquireIdle(endpoint, new RequestId(request), isRetryable);

      assertEquals(isReused ? Optional.of(connection) : Optional.empty(), reused);
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
