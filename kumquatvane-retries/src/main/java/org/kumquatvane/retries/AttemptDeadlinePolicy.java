package org.kumquatvane.retries;

import java.time.Duration;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RouteId;

/**
 * Decides when another instance should be tried although the current one may still answer, so that
 * an instance that hangs does not use up the caller's whole time.
 */
public interface AttemptDeadlinePolicy {
  /**
   * Returns when an attempt may be given up in favour of another.
   *
   * @param context what is known when the attempt starts
   * @return a time not after the caller's deadline
   */
  Deadline attemptDeadline(AttemptContext context);

  /**
   * Takes note of an answer.
   *
   * @param route the route
   * @param latency time from the start of the attempt to the head of its answer
   */
  void recordLatency(RouteId route, Duration latency);
}
