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

  /** Latencies as services have them: skewed, with a median and a deviation of the logarithm. */
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
   * Pattern: a third of the instances hang while the service is slow. An attempt that was given up
   * only when nearly all answers would have come left no time for another one, so that a tenth of
   * the look-ups waited for a hanging instance until their time was over.
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

  /** A repeat that can hardly be answered any more only takes a slot from others. */
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
   * Pattern: most instances are healthy. A tenth of the attempts at instances that were known to be
   * healthy were given up, which spent the retry budget and made these instances suspect.
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
