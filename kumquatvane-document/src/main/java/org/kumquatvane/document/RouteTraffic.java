package org.kumquatvane.document;

import java.time.Duration;
import java.util.List;

/**
 * Traffic settings of a route beyond path and service.
 *
 * @param host host name in lower case; empty for every host
 * @param keyless whether requests need no API key
 * @param backends services between which requests are split by weight; empty if the route has one
 *     service
 * @param maximumAttempts maximum number of instances to which one request is sent; 0 for the
 *     service's limit
 * @param targetLatency latency within which a response has its full value; zero if unspecified
 * @param priority priority of the requests, 0 for the highest
 */
public record RouteTraffic(
    String host,
    boolean keyless,
    List<WeightedService> backends,
    int maximumAttempts,
    Duration targetLatency,
    int priority) {
  /**
   * Every host, API key required, one service, the service's limit, no target, highest priority.
   */
  public static final RouteTraffic DEFAULT =
      new RouteTraffic("", false, List.of(), 0, Duration.ZERO, 0);

  /** Copies the list. */
  public RouteTraffic {
    backends = List.copyOf(backends);
  }
}
