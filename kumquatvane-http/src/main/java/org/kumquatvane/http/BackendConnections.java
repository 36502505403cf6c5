package org.kumquatvane.http;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.http.internal.ConnectionSet;
import org.kumquatvane.selection.Instance;

/**
 * Connections of this VM to all backend servers.
 *
 * <p>Each connection carries one request at a time and returns to its set only after a whole
 * answer. Only the connection itself comes from ServiceTalk; its choice among addresses and its
 * retries are not used, since the engine decides about both.
 */
public final class BackendConnections implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final RankedLock lock = new RankedLock(LockRank.CONNECTIONS);
  private final Map<SocketEndpoint, ConnectionSet> sets = new HashMap<>();
  private final Clock clock;

  /**
   * Creates a table without connections.
   *
   * @param clock clock of the idle deadlines
   */
  public BackendConnections(Clock clock) {
    this.clock = clock;
  }

  /**
   * Takes an idle connection.
   *
   * @param endpoint the backend server
   * @return a connection that is open as far as is known, or empty
   */
  public Optional<ReservedStreamingHttpConnection> takeIdle(SocketEndpoint endpoint) {
    List<ReservedStreamingHttpConnection> expired = new ArrayList<>();
    Optional<ReservedStreamingHttpConnection> idle =
        lock.call(() -> set(endpoint).takeIdle(clock, expired));
    expired.forEach(BackendConnections::close);
    return idle;
  }

  /**
   * Opens a connection.
   *
   * @param endpoint the backend server
   * @param maximumConnections connections that this VM may hold to it
   * @return the connection, or empty if this VM holds that many already
   */
  public Optional<Single<ReservedStreamingHttpConnection>> open(
      SocketEndpoint endpoint, int maximumConnections) {
    Optional<StreamingHttpClient> client =
        lock.call(() -> set(endpoint).countNew(maximumConnections));
    return client.map(
        opener ->
            opener.reserveConnection(opener.get("/")).beforeOnError(failure -> forget(endpoint)));
  }

  /**
   * Gives a connection back after a whole answer.
   *
   * @param endpoint the backend server
   * @param connection the connection
   */
  public void giveBack(SocketEndpoint endpoint, ReservedStreamingHttpConnection connection) {
    boolean kept = lock.call(() -> set(endpoint).putIdle(connection, clock));
    if (!kept) {
      discard(endpoint, connection);
    }
  }

  /**
   * Closes a connection whose state is unknown; it is never used again.
   *
   * @param endpoint the backend server
   * @param connection the connection
   */
  public void discard(SocketEndpoint endpoint, ReservedStreamingHttpConnection connection) {
    forget(endpoint);
    close(connection);
  }

  /**
   * Closes all idle connections to a backend server, after one of them went silent.
   *
   * @param endpoint the backend server
   */
  public void discardIdle(SocketEndpoint endpoint) {
    lock.call(() -> set(endpoint).removeIdle()).forEach(BackendConnections::close);
  }

  /**
   * Closes the connections to backend servers that have left the list.
   *
   * @param instances all instances of all services
   */
  public void update(Collection<Instance> instances) {
    Set<SocketEndpoint> listed =
        instances.stream().map(Instance::endpoint).collect(Collectors.toSet());
    List<ConnectionSet> removed = new ArrayList<>();
    lock.run(
        () ->
            sets.entrySet()
                .removeIf(
                    entry -> {
                      boolean isGone =
                          !listed.contains(entry.getKey()) && entry.getValue().isUnused();
                      if (isGone) {
                        removed.add(entry.getValue());
                      }
                      return isGone;
                    }));
    removed.forEach(set -> subscribeAndForget(set.client().closeAsyncGracefully()));
  }

  @Override
  public void close() {
    List<ConnectionSet> all = new ArrayList<>();
    lock.run(
        () -> {
          all.addAll(sets.values());
          sets.clear();
        });
    all.forEach(set -> subscribeAndForget(set.client().closeAsync()));
  }

  private void forget(SocketEndpoint endpoint) {
    lock.run(
        () -> {
          @Nullable ConnectionSet set = sets.get(endpoint);
          if (set != null) {
            set.countClosed();
          }
        });
  }

  private ConnectionSet set(SocketEndpoint endpoint) {
    return sets.computeIfAbsent(endpoint, address -> new ConnectionSet(newClient(address)));
  }

  private StreamingHttpClient newClient(SocketEndpoint endpoint) {
    return HttpClients.forResolvedAddress(new InetSocketAddress(endpoint.host(), endpoint.port()))
        .protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .buildStreaming();
  }

  private static void close(ReservedStreamingHttpConnection connection) {
    subscribeAndForget(connection.closeAsync());
  }

  private static void subscribeAndForget(Completable completable) {
    completable.onErrorComplete().subscribe();
  }
}
