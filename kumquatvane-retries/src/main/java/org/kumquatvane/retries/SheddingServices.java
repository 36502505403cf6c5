package org.kumquatvane.retries;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.ServiceName;

/** Tells which services shed so many attempts that they lack capacity. Guarded by its owner. */
final class SheddingServices {
  /** Weight of an attempt; the share follows the last twenty attempts or so. */
  private static final double ATTEMPT_WEIGHT = 0.05;

  /**
   * Share of shed attempts above which a service lacks capacity. Below capacity, uneven load of the
   * instances sheds a few percent.
   */
  private static final double OVERLOAD_SHARE = 0.1;

  /** Time after which a service that has not shed again is considered to have capacity. */
  private static final Duration MEMORY = Duration.ofSeconds(5);

  private final Clock clock;
  private final Map<ServiceName, Shedding> services = new HashMap<>();

  SheddingServices(Clock clock) {
    this.clock = clock;
  }

  void recordShed(ServiceName service) {
    Shedding shedding = services.computeIfAbsent(service, unused -> new Shedding(clock));
    if (shedding.until.isReached(clock)) {
      shedding.share = 0;
    }
    shedding.share += ATTEMPT_WEIGHT * (1 - shedding.share);
    shedding.until = Deadline.after(clock, MEMORY);
  }

  void recordResponse(ServiceName service) {
    Shedding shedding = services.get(service);
    if (shedding != null) {
      shedding.share -= ATTEMPT_WEIGHT * shedding.share;
    }
  }

  boolean isOverloaded(ServiceName service) {
    @Nullable Shedding shedding = services.get(service);
    return shedding != null && shedding.share > OVERLOAD_SHARE && !shedding.until.isReached(clock);
  }

  private static final class Shedding {
    private double share;
    private Deadline until;

    private Shedding(Clock clock) {
      until = new Deadline(clock.monotonicNanos());
    }
  }
}
