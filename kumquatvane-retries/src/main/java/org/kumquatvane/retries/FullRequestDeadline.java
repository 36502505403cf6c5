package org.kumquatvane.retries;

import java.time.Duration;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RouteId;

/** Lets each attempt use the caller's whole time; the baseline. */
public final class FullRequestDeadline implements AttemptDeadlinePolicy {
  @Override
  public Deadline attemptDeadline(AttemptContext context) {
    return context.deadline();
  }

  @Override
  public void recordLatency(RouteId route, Duration latency) {}
}
