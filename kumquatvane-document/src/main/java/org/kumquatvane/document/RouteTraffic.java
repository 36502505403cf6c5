package org.kumquatvane.document;

import java.time.Duration;
import java.util.List;

/**
 * What a route says about its traffic beyond path and service.
 *
 * @param host host name that the route serves, in lower case; empty for every host
 * @param keyless whether requests need no key
 * @param backends services between which the requests are divided; empty if the route has one
 * @param maximumAttempts instances to which one request may be sent; 0 for the service's limit
 * @param targetLatency latency within which an answer has its full worth; zero if none is stated
 * @param priority rank of the requests, 0 for the most urgent
 */
public record RouteTraffic(
    String host,
    boolean keyless,
    List<WeightedService> backends,
    int maximumAttempts,
    Duration targetLatency,
    int priority) {
  /** Every host, keys needed, one service, the service's limit, no target, most urgent. */
  public static final RouteTraffic DEFAULT =
      new RouteTraffic("", false, List.of(), 0, Duration.ZERO, 0);

  /** Copies the list. */
  public RouteTraffic {
    backends = List.copyOf(backends);
  }
}
