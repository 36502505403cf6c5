package org.kumquatvane.http.internal;

import io.servicetalk.http.api.StreamingHttpClient;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;

/** Connections to one backend server; guarded by the lock of the owning pool. */
public final class ConnectionSet {
  private final StreamingHttpClient client;
  private final Deque<Idle> idle = new ArrayDeque<>();
  private int openCount;

  /**
   * Creates a set without connections.
   *
   * @param client opens connections to the backend server
   */
  public ConnectionSet(StreamingHttpClient client) {
    this.client = client;
  }

  /**
   * An idle connection.
   *
   * @param connection the connection
   * @param nonRetryableUntil until when it may carry a request that is not retryable
   * @param closeAt when it is closed
   */
  private record Idle(BackendConnection connection, Deadline nonRetryableUntil, Deadline closeAt) {}

  /**
   * Takes the most recently used idle connection and removes expired and closed ones.
   *
   * @param clock clock of the idle deadlines
   * @param forNonRetryable whether the connection must be usable for a request that is not
   *     retryable
   * @param expired receives the connections to close
   * @return a connection, or empty
   */
  public Optional<BackendConnection> acquireIdle(
      Clock clock, boolean forNonRetryable, List<BackendConnection> expired) {
    while (!idle.isEmpty() && idle.getFirst().closeAt().isReached(clock)) {
      expired.add(idle.removeFirst().connection());
      openCount--;
    }
    while (!idle.isEmpty() && !idle.getLast().connection().isOpen()) {
      expired.add(idle.removeLast().connection());
      openCount--;
    }
    if (forNonRetryable && !idle.isEmpty() && idle.getLast().nonRetryableUntil().isReached(clock)) {
      return Optional.empty();
    }
    return Optional.ofNullable(idle.pollLast()).map(Idle::connection);
  }

  /**
   * Counts a connection that is about to be opened, unless the maximum is reached. An idle one that
   * the caller cannot use makes room for it.
   *
   * @param maximum maximum number of open connections
   * @param expired receives the connections to close
   * @return the client that opens it, or empty if the maximum is reached
   */
  public Optional<StreamingHttpClient> tryCountOpening(
      int maximum, List<BackendConnection> expired) {
    if (openCount >= maximum && !idle.isEmpty()) {
      expired.add(idle.removeFirst().connection());
      openCount--;
    }
    if (openCount >= maximum) {
      return Optional.empty();
    }
    openCount++;
    return Optional.of(client);
  }

  /** Decrements the count after a connection was closed or failed to open. */
  public void countClosed() {
    openCount = Math.max(0, openCount - 1);
  }

  /**
   * Adds an idle connection for later requests.
   *
   * @param connection the connection
   * @param nonRetryableUntil until when it may carry a request that is not retryable
   * @param closeAt when it is closed
   */
  public void addIdle(BackendConnection connection, Deadline nonRetryableUntil, Deadline closeAt) {
    idle.addLast(new Idle(connection, nonRetryableUntil, closeAt));
  }

  /**
   * Removes all idle connections.
   *
   * @return the connections, to be closed
   */
  public List<BackendConnection> removeIdle() {
    List<BackendConnection> removed = idle.stream().map(Idle::connection).toList();
    openCount -= idle.size();
    idle.clear();
    return removed;
  }

  /**
   * Returns whether no connection is in use.
   *
   * @return whether all open connections are idle
   */
  public boolean isUnused() {
    return openCount <= idle.size();
  }

  /**
   * Returns the client.
   *
   * @return the client that opens connections
   */
  public StreamingHttpClient client() {
    return client;
  }
}
