package org.kumquatvane.http.internal;

import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpClient;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;

/** Connections to one backend server; guarded by the lock of the owning table. */
public final class ConnectionSet {
  private final StreamingHttpClient client;
  private final Deque<Idle> idle = new ArrayDeque<>();
  private int open;

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
   * @param freshUntil until when it may carry a request that cannot be repeated
   * @param closeAt when it is closed
   */
  private record Idle(
      ReservedStreamingHttpConnection connection, Deadline freshUntil, Deadline closeAt) {}

  /**
   * Takes the connection that was used last.
   *
   * @param clock clock of the idle deadlines
   * @param mustBeFresh whether a connection that has been idle for long is of no use
   * @param expired receives connections to close
   * @return a connection, or empty
   */
  public Optional<ReservedStreamingHttpConnection> takeIdle(
      Clock clock, boolean mustBeFresh, List<ReservedStreamingHttpConnection> expired) {
    while (!idle.isEmpty() && idle.getFirst().closeAt().isReached(clock)) {
      expired.add(idle.removeFirst().connection());
      open--;
    }
    if (mustBeFresh && !idle.isEmpty() && idle.getLast().freshUntil().isReached(clock)) {
      return Optional.empty();
    }
    return Optional.ofNullable(idle.pollLast()).map(Idle::connection);
  }

  /**
   * Counts a connection that is about to be opened.
   *
   * @param maximum connections that may be open
   * @return the client that opens it, or empty if the maximum is reached
   */
  public Optional<StreamingHttpClient> countNew(int maximum) {
    if (open >= maximum) {
      return Optional.empty();
    }
    open++;
    return Optional.of(client);
  }

  /** Counts a connection that is closed or was never opened. */
  public void countClosed() {
    open = Math.max(0, open - 1);
  }

  /**
   * Keeps a connection for later requests.
   *
   * @param connection the connection
   * @param freshUntil until when it may carry a request that cannot be repeated
   * @param closeAt when it is closed
   */
  public void putIdle(
      ReservedStreamingHttpConnection connection, Deadline freshUntil, Deadline closeAt) {
    idle.addLast(new Idle(connection, freshUntil, closeAt));
  }

  /**
   * Removes all idle connections.
   *
   * @return the connections, to be closed
   */
  public List<ReservedStreamingHttpConnection> removeIdle() {
    List<ReservedStreamingHttpConnection> removed = idle.stream().map(Idle::connection).toList();
    open -= idle.size();
    idle.clear();
    return removed;
  }

  /**
   * Tells whether no connection is in use.
   *
   * @return whether all open connections are idle
   */
  public boolean isUnused() {
    return open <= idle.size();
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
