package org.kumquatvane.retries;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;

/**
 * Gives up attempts of repeatable requests once they take longer than nearly all answers of the
 * service, as the whole failure domain has seen them.
 */
public final class LatencyModelDeadline implements AttemptDeadlinePolicy {
  private static final Duration SHORTEST = Duration.ofMillis(30);

  private final Clock clock;
  private final LatencyModel model;

  /** What is known of the latency of a service. */
  public interface LatencyModel {
    /**
     * Returns the time within which nearly all answers come.
     *
     * @param service the service
     * @return the time
     */
    Duration usualLimit(ServiceName service);

    /**
     * Returns a typical latency.
     *
     * @param service the service
     * @return the time
     */
    Duration typical(ServiceName service);
  }

  /**
   * Creates the policy.
   *
   * @param clock clock of the deadlines
   * @param model latency of the services
   */
  public LatencyModelDeadline(Clock clock, LatencyModel model) {
    this.clock = clock;
    this.model = model;
  }

  @Override
  public Deadline attemptDeadline(AttemptContext context) {
    if (!context.repeatable()) {
      return context.deadline();
    }
    Duration limit = model.usualLimit(context.service().name());
    long allowed = Math.max(SHORTEST.toNanos(), limit.toNanos()) << (context.attempt() - 1);
    long another = model.typical(context.service().name()).toNanos();
    // Without time for another attempt it is better to wait for this one.
    return context.deadline().remainingNanos(clock) - allowed > another
        ? Deadline.after(clock, Duration.ofNanos(allowed))
        : context.deadline();
  }

  @Override
  public void answered(RouteId route, Duration latency) {
    // The model learns from all VMs, through the pool of instances.
  }
}
