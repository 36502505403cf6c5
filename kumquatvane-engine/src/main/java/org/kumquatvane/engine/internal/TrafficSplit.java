package org.kumquatvane.engine.internal;

import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.document.Route;
import org.kumquatvane.document.WeightedService;

/**
 * Divides the requests of a route between its services in the proportions of their weights.
 *
 * <p>The choice is a hash of the request id, so it needs no state that VMs would have to share. It
 * does not depend on the state of the services: a request that the chosen service cannot accept is
 * refused and not moved to another service.
 */
public final class TrafficSplit {
  private static final int FIRST_MULTIPLIER = 0x85ebca6b;
  private static final int SECOND_MULTIPLIER = 0xc2b2ae35;

  private TrafficSplit() {}

  /**
   * Chooses the service of a request.
   *
   * @param route the route of the request
   * @param request identifies the request
   * @return the service
   */
  public static ServiceName choose(Route route, RequestId request) {
    long total = route.traffic().backends().stream().mapToLong(WeightedService::weight).sum();
    if (total <= 0) {
      return route.service();
    }
    long hash = Integer.toUnsignedLong(mixBits(request.value().hashCode()));
    long position = (hash * total) >>> Integer.SIZE;
    for (WeightedService backend : route.traffic().backends()) {
      position -= backend.weight();
      if (position < 0) {
        return backend.service();
      }
    }
    throw new IllegalStateException("weights of route " + route.id() + " changed");
  }

  /** Mixes the bits of a string hash, whose high bits are similar for short strings. */
  private static int mixBits(int hash) {
    int bits = hash;
    bits = (bits ^ (bits >>> 16)) * FIRST_MULTIPLIER;
    bits = (bits ^ (bits >>> 13)) * SECOND_MULTIPLIER;
    return bits ^ (bits >>> 16);
  }
}
