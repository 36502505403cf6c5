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
 * Delegates to the mechanism that the document selects.
 *
 * <p>On a change the previous mechanism drops everything, and the next one starts with empty
 * buckets after the longest time for which this VM's fraction may still be lent.
 */
public final class DocumentRateLimiter implements RateLimiter, DocumentListener {
  private final Clock clock;
  private final StaticDivisionLimiter division;
  private final LeasedShareLimiter leases;
  private final LeaseSettings settings;
  private volatile @Nullable LimitMechanism selected;

  /**
   * Creates a limiter that admits nothing before the first document.
   *
   * @param clock clock of both mechanisms
   * @param division the fixed division
   * @param leases the leased shares
   * @param settings times of the leases
   */
  public DocumentRateLimiter(
      Clock clock,
      StaticDivisionLimiter division,
      LeasedShareLimiter leases,
      LeaseSettings settings) {
    this.clock = clock;
    this.division = division;
    this.leases = leases;
    this.settings = settings;
  }

  @Override
  public void documentInForce(Document document) {
    LimitMechanism previous = selected;
    LimitMechanism next = document.fleet().limitMechanism();
    if (next != previous) {
      select(next, previous == null);
    }
    division.documentInForce(document);
    leases.documentInForce(document);
    selected = next;
  }

  private void select(LimitMechanism next, boolean first) {
    switch (next) {
      case STATIC_DIVISION -> {
        leases.stop();
        if (!first) {
          division.start(clock.monotonicNanos() + LeaseSettings.extend(settings.lease().toNanos()));
        }
      }
      case LEASED_SHARES -> {
        division.stop();
        if (!first) {
          leases.start();
        }
      }
      default -> throw new IllegalStateException("unknown mechanism " + next);
    }
  }

  @Override
  public void acquire(WorkspaceId workspace, Deadline deadline, Consumer<LimitDecision> decision) {
    LimitMechanism mechanism = selected;
    if (mechanism == null) {
      decision.accept(new LimitDecision.Unsettled());
    } else if (mechanism == LimitMechanism.STATIC_DIVISION) {
      division.acquire(workspace, deadline, decision);
    } else {
      leases.acquire(workspace, deadline, decision);
    }
  }
}
