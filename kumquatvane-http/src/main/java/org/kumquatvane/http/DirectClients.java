package org.kumquatvane.http;

import io.servicetalk.http.api.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.http.api.SingleAddressHttpClientBuilder;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.loadbalancer.LoadBalancers;
import io.servicetalk.loadbalancer.OutlierDetectorConfig;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Builders of HTTP clients of one server that try to connect at each call.
 *
 * <p>The decisions whether a server is used, and when a call is repeated, are those of the callers.
 * By default ServiceTalk takes a server for unhealthy after five failed connection attempts and
 * then fails all calls without an attempt, until a check in the background, some 5 s apart,
 * succeeds.
 */
public final class DirectClients {
  /** Any negative number turns the check of servers with failed connections off. */
  private static final int NO_CONNECTION_CHECK = -1;

  private static final int NEVER = 0;

  private static final HttpLoadBalancerFactory<InetSocketAddress> WITHOUT_HEALTH_CHECK =
      new DefaultHttpLoadBalancerFactory<>(
          LoadBalancers.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder(
                  "direct")
              .outlierDetectorConfig(
                  new OutlierDetectorConfig.Builder()
                      .failedConnectionsThreshold(NO_CONNECTION_CHECK)
                      .enforcingConsecutive5xx(NEVER)
                      .enforcingSuccessRate(NEVER)
                      .enforcingFailurePercentage(NEVER)
                      .build())
              .build());

  private DirectClients() {}

  /**
   * Creates a builder without retries and without health checks.
   *
   * @param server address of the server
   * @param connectTimeout maximum time to establish a connection
   * @param ioExecutor I/O threads, or null for the default ones of ServiceTalk
   * @return the builder
   */
  public static SingleAddressHttpClientBuilder<InetSocketAddress, InetSocketAddress> builder(
      SocketEndpoint server, Duration connectTimeout, @Nullable IoExecutor ioExecutor) {
    SingleAddressHttpClientBuilder<InetSocketAddress, InetSocketAddress> builder =
        HttpClients.forResolvedAddress(new InetSocketAddress(server.host(), server.port()))
            .loadBalancerFactory(WITHOUT_HEALTH_CHECK)
            .executionStrategy(HttpExecutionStrategies.offloadNone())
            .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, (int) connectTimeout.toMillis())
            .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries());
    return ioExecutor == null ? builder : builder.ioExecutor(ioExecutor);
  }
}
