package org.kumquatvane.retries;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;

/**
 * Abandons attempts of retryable requests after a multiple of the route's 99th percentile latency,
 * which doubles with each further attempt; the last attempt runs until the request deadline.
 *
 * <p>Attempts at a service that lacks capacity also run until the request deadline: abandoned work
 * keeps slots that other requests need, and a slow response is no sign of a faulty instance there.
 *
 * <p>The retry policy and its budget decide whether a retry follows. Only responses update the
 * percentile; hanging attempts would raise it without bound.
 */
public final class ObservedLatencyDeadline implements AttemptDeadlinePolicy {
  /** Attempts slower than twice the 99th percentile rarely complete soon after. */
  private static final double PERCENTILE_MULTIPLE = 2;

  private static final Duration MINIMUM_ATTEMPT_TIME = Duration.ofMillis(20);

  /** Maximum number of tracked routes; the document may have more, but few are in use on one VM. */
  private static final int MAXIMUM_ROUTES = 10_000;

  private final RankedLock lock = new RankedLock(LockRank.RETRIES);
  private final Clock clock;
  private final SheddingServices shedding;
  private final Map<RouteId, Percentile> percentiles = new HashMap<>();

  /**
   * Creates a policy without latency samples.
   *
   * @param clock clock of the deadlines
   */
  public ObservedLatencyDeadline(Clock clock) {
    this.clock = clock;
    shedding = new SheddingServices(clock);
  }

  @Override
  public Deadline attemptDeadline(AttemptContext context) {
    if (!context.retryable() || context.attempt() >= context.service().retry().maximumAttempts()) {
      return context.deadline();
    }
    double nanos =
        lock.call(
            () ->
                shedding.isOverloaded(context.service().name())
                    ? 0
                    : percentileNanos(context.route()));
    if (nanos <= 0) {
      return context.deadline();
    }
    long allowed =
        Math.max(MINIMUM_ATTEMPT_TIME.toNanos(), (long) (PERCENTILE_MULTIPLE * nanos))
            << (context.attempt() - 1);
    // If no time remains for a retry, waiting for this attempt is better.
    boolean hasTimeForAnother = context.deadline().remainingNanos(clock) - allowed > (long) nanos;
    return hasTimeForAnother
        ? Deadline.after(clock, Duration.ofNanos(allowed))
        : context.deadline();
  }

  @Override
  public void recordShed(ServiceName service) {
    lock.run(() -> shedding.recordShed(service));
  }

  private double percentileNanos(RouteId route) {
    @Nullable Percentile percentile = percentiles.get(route);
    return percentile == null ? 0 : percentile.nanos();
  }

  @Override
  public void recordLatency(ServiceName service, RouteId route, Duration latency) {
    lock.run(
        () -> {
          shedding.recordResponse(service);
          if (percentiles.size() < MAXIMUM_ROUTES || percentiles.containsKey(route)) {
            percentiles.computeIfAbsent(route, unused -> new Percentile()).add(latency);
          }
        });
  }

  /** Streaming estimate of the 99th percentile that moves by a small step with each response. */
  private static final class Percentile {
    private static final int MINIMUM_SAMPLES = 20;
    private static final double QUANTILE = 0.99;

    /** Logarithmic step; the estimate doubles within three samples above it. */
    private static final double STEP = 0.25;

    private int samples;
    private double logNanos;

    private void add(Duration latency) {
      double log = Math.log((double) Math.max(1, latency.toNanos()));
      samples = Math.min(MINIMUM_SAMPLES, samples + 1);
      if (samples < MINIMUM_SAMPLES) {
        logNanos = Math.max(logNanos, log);
      } else if (log > logNanos) {
        logNanos += STEP * QUANTILE;
      } else {
        logNanos -= STEP * (1 - QUANTILE);
      }
    }

    private double nanos() {
      return samples < MINIMUM_SAMPLES ? 0 : Math.exp(logNanos);
    }
  }
}
