package org.kumquatvane.http.internal;

import io.servicetalk.http.api.StreamingHttpClient;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RequestId;

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
   * Takes the most recently used idle connection that can carry a request, and removes expired and
   * closed ones.
   *
   * @param clock clock of the idle deadlines
   * @param request the request, which a connection carries only once
   * @param isRetryable whether the request can be sent again if the connection turns out to be
   *     closed
   * @param removed receives the connections to close
   * @return a connection, or empty
   */
  public Optional<BackendConnection> acquireIdle(
      Clock clock, RequestId request, boolean isRetryable, List<BackendConnection> removed) {
    removeUnusable(clock, removed);
    Iterator<Idle> mostRecentFirst = idle.descendingIterator();
    while (mostRecentFirst.hasNext()) {
      Idle candidate = mostRecentFirst.next();
      boolean isFresh = isRetryable || !candidate.nonRetryableUntil().isReached(clock);
      if (isFresh && !candidate.connection().hasCarried(request)) {
        mostRecentFirst.remove();
        return Optional.of(candidate.connection());
      }
    }
    return Optional.empty();
  }

  private void removeUnusable(Clock clock, List<BackendConnection> removed) {
    idle.removeIf(
        candidate -> {
          boolean isUnusable =
              candidate.closeAt().isReached(clock) || !candidate.connection().isOpen();
          if (isUnusable) {
            removed.add(candidate.connection());
            openCount--;
          }
          return isUnusable;
        });
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
