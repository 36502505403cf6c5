package org.kumquatvane.retries;

import java.time.Duration;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;

/**
 * Sets the deadline of attempts of retryable requests to maximize the probability of a response
 * before the request deadline: late enough for most healthy instances, and early enough for a
 * retry.
 */
public final class LatencyModelDeadline implements AttemptDeadlinePolicy {
  /**
   * Probability that a retry gets no response: about a third of the instances fail at any time, and
   * selection avoids two thirds of those.
   */
  private static final double NEXT_ATTEMPT_FAILURE_PROBABILITY = 0.1;

  /** Number of candidate deadlines, evenly spaced over the remaining time. */
  private static final int CANDIDATE_DEADLINES = 24;

  /**
   * Minimum gain in response probability that justifies a retry, which takes a slot and a part of
   * the retry budget from other requests.
   */
  private static final double MINIMUM_RETRY_GAIN = 0.01;

  private final Clock clock;
  private final LatencyModel model;

  /** Latency distribution of services. */
  @FunctionalInterface
  public interface LatencyModel {
    /**
     * Returns the probability that a healthy instance responds within a given time.
     *
     * @param service the service
     * @param latency the given time
     * @return 0 to 1
     */
    double responseProbability(ServiceName service, Duration latency);
  }

  /**
   * Creates the policy.
   *
   * @param clock clock of the deadlines
   * @param model latency model of the services
   */
  public LatencyModelDeadline(Clock clock, LatencyModel model) {
    this.clock = clock;
    this.model = model;
  }

  @Override
  public Deadline attemptDeadline(AttemptContext context) {
    if (!context.retryable()) {
      return context.deadline();
    }
    ServiceName service = context.service().name();
    long remaining = context.deadline().remainingNanos(clock);
    double healthyProbability = 1 - context.failureProbability();
    double bestProbability =
        healthyProbability * responseProbability(service, remaining) + MINIMUM_RETRY_GAIN;
    long chosen = remaining;
    for (int step = 1; step < CANDIDATE_DEADLINES; step++) {
      long allowed = remaining / CANDIDATE_DEADLINES * step;
      double first = healthyProbability * responseProbability(service, allowed);
      double second =
          (1 - NEXT_ATTEMPT_FAILURE_PROBABILITY)
              * responseProbability(service, remaining - allowed);
      double probability = first + (1 - first) * second;
      if (probability > bestProbability) {
        bestProbability = probability;
        chosen = allowed;
      }
    }
    return chosen == remaining
        ? context.deadline()
        : Deadline.after(clock, Duration.ofNanos(chosen));
  }

  private double responseProbability(ServiceName service, long nanos) {
    return model.responseProbability(service, Duration.ofNanos(Math.max(0, nanos)));
  }

  @Override
  public void recordLatency(ServiceName service, RouteId route, Duration latency) {
    // The latency model gets the latencies of all VMs through the instance pool.
  }

  @Override
  public void recordShed(ServiceName service) {
    // The instance pool accounts for shed attempts in the failure probability.
  }
}
