package org.kumquatvane.http;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.transport.api.IoExecutor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.internal.BackendConnection;
import org.kumquatvane.http.internal.ConnectionSet;
import org.kumquatvane.selection.Instance;

/**
 * Pool of the connections of this VM to all backend servers.
 *
 * <p>Each connection carries one request at a time and returns to the pool only after a complete
 * response. ServiceTalk supplies the connections only; the engine decides about instances and
 * retries.
 */
public final class BackendConnectionPool implements AutoCloseable {
  /**
   * Fraction of an announced idle timeout for which a connection is kept; the rest covers network
   * delays.
   */
  private static final double ANNOUNCED_TIMEOUT_FRACTION = 0.8;

  private final RankedLock lock = new RankedLock(LockRank.CONNECTIONS);
  private final Map<SocketEndpoint, ConnectionSet> connectionSets = new HashMap<>();
  private final Clock clock;
  private final BackendConnectionSettings settings;
  private final @Nullable IoExecutor ioExecutor;
  private final ExtraBytesListener extraBytes;
  private final AtomicLong connectionCount = new AtomicLong();

  /**
   * Creates an empty pool.
   *
   * @param clock clock of the idle deadlines
   * @param settings timeouts of the connections
   * @param ioExecutor I/O threads, or null for the default ones of ServiceTalk
   * @param extraBytes notified of bytes that belong to no response
   */
  public BackendConnectionPool(
      Clock clock,
      BackendConnectionSettings settings,
      @Nullable IoExecutor ioExecutor,
      ExtraBytesListener extraBytes) {
    this.clock = clock;
    this.settings = settings;
    this.ioExecutor = ioExecutor;
    this.extraBytes = extraBytes;
  }

  /**
   * Takes an idle connection from the pool.
   *
   * @param endpoint the backend server
   * @param request the request, which no connection carries twice: a late second copy of the
   *     response to one attempt bears the same ID as the response to the next
   * @param retryable whether the request can be sent again if the connection turns out to be closed
   * @return a connection that is not known to be closed, or empty
   */
  public Optional<BackendConnection> acquireIdle(
      SocketEndpoint endpoint, RequestId request, boolean retryable) {
    List<BackendConnection> expired = new ArrayList<>();
    Optional<BackendConnection> idle =
        lock.call(() -> connectionSet(endpoint).acquireIdle(clock, request, retryable, expired));
    expired.forEach(BackendConnection::close);
    return idle;
  }

  /**
   * Opens a connection.
   *
   * @param endpoint the backend server
   * @param maximumConnections maximum number of connections of this VM to the backend server
   * @return the connection, or empty if the maximum is reached
   */
  public Optional<Single<BackendConnection>> open(SocketEndpoint endpoint, int maximumConnections) {
    List<BackendConnection> expired = new ArrayList<>();
    Optional<StreamingHttpClient> client =
        lock.call(() -> connectionSet(endpoint).tryCountOpening(maximumConnections, expired));
    expired.forEach(BackendConnection::close);
    return client.map(
        opener ->
            opener
                .reserveConnection(opener.get("/"))
                .map(
                    opened ->
                        BackendConnection.of(
                            opened, endpoint, connectionCount.incrementAndGet(), extraBytes))
                .beforeOnError(failure -> countClosed(endpoint)));
  }

  /**
   * Returns a connection to the pool after a complete response.
   *
   * @param endpoint the backend server
   * @param connection the connection
   * @param announcedIdleTimeout idle timeout that the backend server announced, if any
   */
  public void release(
      SocketEndpoint endpoint,
      BackendConnection connection,
      Optional<Duration> announcedIdleTimeout) {
    Duration idleTimeout =
        announcedIdleTimeout
            .map(
                timeout ->
                    Duration.ofNanos((long) (timeout.toNanos() * ANNOUNCED_TIMEOUT_FRACTION)))
            .filter(timeout -> timeout.compareTo(settings.idleTimeout()) < 0)
            .orElse(settings.idleTimeout());
    Deadline closeAt = Deadline.after(clock, idleTimeout);
    Deadline nonRetryableUntil =
        Deadline.after(clock, settings.nonRetryableIdleLimit()).earliest(closeAt);
    connection.watchIdle();
    lock.run(() -> connectionSet(endpoint).addIdle(connection, nonRetryableUntil, closeAt));
  }

  /**
   * Closes a connection whose state is unknown, so that it is not reused.
   *
   * @param endpoint the backend server
   * @param connection the connection
   */
  public void discard(SocketEndpoint endpoint, BackendConnection connection) {
    countClosed(endpoint);
    connection.close();
  }

  /**
   * Closes all idle connections to a backend server, after one of them stopped responding.
   *
   * @param endpoint the backend server
   */
  public void discardIdle(SocketEndpoint endpoint) {
    lock.call(() -> connectionSet(endpoint).removeIdle()).forEach(BackendConnection::close);
  }

  /**
   * Closes the connections to backend servers that are no longer listed.
   *
   * @param instances all instances of all services
   */
  public void update(Collection<Instance> instances) {
    Set<SocketEndpoint> listed =
        instances.stream().map(Instance::endpoint).collect(Collectors.toSet());
    List<ConnectionSet> removed = new ArrayList<>();
    lock.run(
        () ->
            connectionSets
                .entrySet()
                .removeIf(
                    entry -> {
                      boolean isRemoved =
                          !listed.contains(entry.getKey()) && entry.getValue().isUnused();
                      if (isRemoved) {
                        removed.add(entry.getValue());
                      }
                      return isRemoved;
                    }));
    removed.forEach(set -> subscribeIgnoringErrors(set.client().closeAsyncGracefully()));
  }

  @Override
  public void close() {
    List<ConnectionSet> all = new ArrayList<>();
    lock.run(
        () -> {
          all.addAll(connectionSets.values());
          connectionSets.clear();
        });
    all.forEach(set -> subscribeIgnoringErrors(set.client().closeAsync()));
  }

  private void countClosed(SocketEndpoint endpoint) {
    lock.run(
        () -> {
          @Nullable ConnectionSet set = connectionSets.get(endpoint);
          if (set != null) {
            set.countClosed();
          }
        });
  }

  private ConnectionSet connectionSet(SocketEndpoint endpoint) {
    return connectionSets.computeIfAbsent(
        endpoint, address -> new ConnectionSet(newClient(address)));
  }

  private StreamingHttpClient newClient(SocketEndpoint endpoint) {
    // With more than one pipelined request, a response could end while its request is being
    // written, and ResponseByteGuard would take the rest for the next request.
    return DirectClients.builder(endpoint, settings.connectTimeout(), ioExecutor)
        .protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
        .buildStreaming();
  }

  private static void subscribeIgnoringErrors(Completable completable) {
    completable.onErrorComplete().subscribe();
  }
}
