package org.kumquatvane.server.internal;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.MembershipListener;

/**
 * Readiness conditions for rate shares and operations.
 *
 * <p>Both require an agreed view. Operations also wait for the maximum clock skew of callers, since
 * an operation with an idempotency key created before that time could have run without this VM's
 * knowledge. A VM without a view becomes ready after a time limit, since it can still serve
 * requests that need neither.
 */
public final class FleetReadiness implements MembershipListener {
  private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(30);

  private final Clock clock;
  private final Duration clockSkew;
  private final Deadline fallbackDeadline;
  private volatile @Nullable Deadline operationsReadyAt;

  /**
   * Creates the conditions and starts the time limit.
   *
   * @param clock clock of the deadlines
   * @param clockSkew maximum time by which a caller's clock may be ahead
   */
  public FleetReadiness(Clock clock, Duration clockSkew) {
    this.clock = clock;
    this.clockSkew = clockSkew;
    fallbackDeadline = Deadline.after(clock, MAXIMUM_WAIT.plus(clockSkew));
  }

  @Override
  public void viewAgreed(AgreedView view) {
    if (operationsReadyAt == null) {
      operationsReadyAt = Deadline.after(clock, clockSkew);
    }
  }

  /**
   * Returns whether the rate shares are settled.
   *
   * @return true once a view was agreed, or after the time limit
   */
  public boolean sharesSettled() {
    return operationsReadyAt != null || fallbackDeadline.isReached(clock);
  }

  /**
   * Returns whether new operations can be accepted.
   *
   * @return true once the clock skew has passed after the first view, or after the time limit
   */
  public boolean operationsSettled() {
    Deadline readyAt = operationsReadyAt;
    return (readyAt != null && readyAt.isReached(clock)) || fallbackDeadline.isReached(clock);
  }
}
