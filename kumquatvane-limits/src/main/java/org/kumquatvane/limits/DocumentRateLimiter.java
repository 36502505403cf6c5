package org.kumquatvane.limits;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.LimitMechanism;

/**
 * Delegates to the limit mechanism that the configuration document selects.
 *
 * <p>When the mechanism changes, the previous one drops all its state. The next one starts with
 * empty buckets after the longest time for which this VM's fraction may still be lent.
 */
public final class DocumentRateLimiter implements RateLimiter, DocumentListener {
  private final Clock clock;
  private final StaticDivisionLimiter staticDivision;
  private final LeasedShareLimiter leasedShares;
  private final LeaseSettings settings;
  private volatile @Nullable LimitMechanism selected;

  /**
   * Creates a limiter that admits nothing before the first document.
   *
   * @param clock clock of both mechanisms
   * @param staticDivision limiter that divides each rate evenly
   * @param leasedShares limiter that leases shares between VMs
   * @param settings lease durations
   */
  public DocumentRateLimiter(
      Clock clock,
      StaticDivisionLimiter staticDivision,
      LeasedShareLimiter leasedShares,
      LeaseSettings settings) {
    this.clock = clock;
    this.staticDivision = staticDivision;
    this.leasedShares = leasedShares;
    this.settings = settings;
  }

  @Override
  public void documentInForce(Document document) {
    LimitMechanism previous = selected;
    LimitMechanism next = document.fleet().limitMechanism();
    if (next != previous) {
      select(next, previous == null);
    }
    staticDivision.documentInForce(document);
    leasedShares.documentInForce(document);
    selected = next;
  }

  private void select(LimitMechanism next, boolean first) {
    switch (next) {
      case STATIC_DIVISION -> {
        leasedShares.stop();
        if (!first) {
          staticDivision.start(
              clock.monotonicNanos() + LeaseSettings.extendForDrift(settings.lease().toNanos()));
        }
      }
      case LEASED_SHARES -> {
        staticDivision.stop();
        if (!first) {
          leasedShares.start();
        }
      }
      default -> throw new IllegalStateException("unknown limit mechanism " + next);
    }
  }

  @Override
  public void acquire(WorkspaceId workspace, Deadline deadline, Consumer<LimitDecision> decision) {
    LimitMechanism mechanism = selected;
    if (mechanism == null) {
      decision.accept(new LimitDecision.ShareUnsettled());
    } else if (mechanism == LimitMechanism.STATIC_DIVISION) {
      staticDivision.acquire(workspace, deadline, decision);
    } else {
      leasedShares.acquire(workspace, deadline, decision);
    }
  }
}
