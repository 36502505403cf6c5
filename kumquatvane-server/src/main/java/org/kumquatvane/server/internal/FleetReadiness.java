package org.kumquatvane.server.internal;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.MembershipListener;

/**
 * Tells whether this VM has its share of the rates and can judge operations.
 *
 * <p>Both need an agreed view, and operations in addition need the time by which a caller's clock
 * may be ahead: keys made before that time could have run unseen. A VM that finds no view within
 * the limit becomes ready all the same, since it can still answer what needs neither.
 */
public final class FleetReadiness implements MembershipListener {
  private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(30);

  private final Clock clock;
  private final Duration clockSkew;
  private final Deadline fallbackDeadline;
  private volatile @Nullable Deadline operationsReadyAt;

  /**
   * Creates the condition; it begins to wait at once.
   *
   * @param clock clock of the deadlines
   * @param clockSkew largest lead of a caller's clock
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
   * Tells whether shares are settled.
   *
   * @return true once a view was agreed, or after the limit
   */
  public boolean sharesSettled() {
    return operationsReadyAt != null || fallbackDeadline.isReached(clock);
  }

  /**
   * Tells whether new operations can be judged.
   *
   * @return true once the clock skew has passed after the first view, or after the limit
   */
  public boolean operationsSettled() {
    Deadline readyAt = operationsReadyAt;
    return (readyAt != null && readyAt.isReached(clock)) || fallbackDeadline.isReached(clock);
  }
}
