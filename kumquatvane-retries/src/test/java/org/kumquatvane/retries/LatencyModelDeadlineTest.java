package org.kumquatvane.retries;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.testing.SimulatedClock;

class LatencyModelDeadlineTest {
  private final SimulatedClock clock = new SimulatedClock();

  /** Approximately log-normal latency distribution with the given median. */
  private static double responseProbability(double medianMillis, Duration latency) {
    double deviations = Math.log(Math.max(1, latency.toMillis()) / medianMillis) / 0.7;
    return 0.98 / (1 + Math.exp(-1.702 * deviations));
  }

  private Duration attemptTime(double medianMillis, long leftMillis, boolean retryable) {
    return attemptTime(medianMillis, leftMillis, retryable, 0.2);
  }

  private Duration attemptTime(
      double medianMillis, long leftMillis, boolean retryable, double failureProbability) {
    LatencyModelDeadline policy =
        new LatencyModelDeadline(
            clock, (service, latency) -> responseProbability(medianMillis, latency));
    Deadline deadline = Deadline.after(clock, Duration.ofMillis(leftMillis));
    Deadline chosen =
        policy.attemptDeadline(
            new AttemptContext(
                RetryFixture.service(new ServiceName("sessions")),
                new RouteId("look-ups"),
                retryable,
                1,
                failureProbability,
                deadline));
    return Duration.ofNanos(chosen.remainingNanos(clock));
  }

  /**
   * A third of the instances hang while the service is slow. Abandoning an attempt only when nearly
   * all responses would have arrived left no time for a retry, so that a tenth of the look-ups
   * waited for a hanging instance until their deadline.
   */
  @ParameterizedTest
  @CsvSource({"120, 1500", "220, 1200", "300, 1200", "400, 1200", "90, 800"})
  void hangingAttemptLeavesTimeForRetry(double medianMillis, long leftMillis) {
    Duration first = attemptTime(medianMillis, leftMillis, true);
    Duration second = Duration.ofMillis(leftMillis).minus(first);
    assertTrue(
        responseProbability(medianMillis, second) >= 0.5, () -> "second attempt gets " + second);
    assertTrue(
        responseProbability(medianMillis, first) >= 0.5, () -> "first attempt gets " + first);
  }

  /** A retry that is unlikely to complete only takes a slot from other requests. */
  @ParameterizedTest
  @CsvSource({"400, 60", "1000, 100"})
  void attemptWithoutTimeForRetryKeepsFullDeadline(double medianMillis, long leftMillis) {
    assertEquals(Duration.ofMillis(leftMillis), attemptTime(medianMillis, leftMillis, true));
  }

  @ParameterizedTest
  @CsvSource({"120, 1500", "400, 1200"})
  void nonRetryableRequestKeepsFullDeadline(double medianMillis, long leftMillis) {
    assertEquals(Duration.ofMillis(leftMillis), attemptTime(medianMillis, leftMillis, false));
  }

  /**
   * With most instances healthy, a tenth of the attempts at healthy instances were abandoned, which
   * used up the retry budget and raised the failure estimate of these instances.
   */
  @ParameterizedTest
  @CsvSource({"120, 1500", "220, 1200", "300, 1500"})
  void healthyInstanceGetsMoreTimeThanSuspectedOne(double medianMillis, long leftMillis) {
    Duration healthy = attemptTime(medianMillis, leftMillis, true, 0.02);
    Duration suspected = attemptTime(medianMillis, leftMillis, true, 0.6);
    assertTrue(healthy.compareTo(suspected) > 0, () -> healthy + " and " + suspected);
    assertTrue(
        responseProbability(medianMillis, healthy) >= 0.85,
        () -> "healthy instance gets " + healthy);
  }
}
