package org.kumquatvane.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.RateLimit;

/**
 * Gives each VM the fixed fraction {@code 1 / maximumVmCount} of each workspace.
 *
 * <p>The simplest way that keeps the bound; it refuses requests within the rate when callers arrive
 * unevenly, and every request of a workspace whose burst is smaller than the number of VMs.
 */
public final class StaticDivisionLimiter implements RateLimiter, DocumentListener {
  private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(60);

  private final RankedLock lock = new RankedLock(LockRank.LIMITS);
  private final Clock clock;
  private final Map<WorkspaceId, RateLimit> rates = new HashMap<>();
  private final Map<WorkspaceId, TokenBucket> buckets = new HashMap<>();
  private double fraction;

  /**
   * Creates a limiter that admits nothing before the first document.
   *
   * @param clock clock of the buckets
   */
  public StaticDivisionLimiter(Clock clock) {
    this.clock = clock;
  }

  @Override
  public void documentInForce(Document document) {
    lock.run(() -> apply(document));
  }

  private void apply(Document document) {
    fraction = 1.0 / document.fleet().maximumVmCount();
    rates.clear();
    document.workspaces().forEach(workspace -> rates.put(workspace.id(), workspace.rate()));
    buckets.keySet().retainAll(rates.keySet());
    long now = clock.monotonicNanos();
    buckets.forEach(
        (id, bucket) -> {
          RateLimit rate = rates.get(id);
          if (rate != null) {
            bucket.resize(rate, fraction, now);
          }
        });
  }

  @Override
  public void acquire(WorkspaceId workspace, Deadline deadline, Consumer<LimitDecision> decision) {
    decision.accept(lock.call(() -> decide(workspace)));
  }

  private LimitDecision decide(WorkspaceId workspace) {
    @Nullable RateLimit rate = rates.get(workspace);
    if (rate == null) {
      return new LimitDecision.Unsettled();
    }
    long now = clock.monotonicNanos();
    TokenBucket bucket =
        buckets.computeIfAbsent(workspace, unused -> new TokenBucket(rate, fraction, now));
    if (bucket.take(1, now)) {
      return new LimitDecision.Admitted();
    }
    long waitNanos = Math.min(LONGEST_RETRY_AFTER.toNanos(), bucket.nanosUntil(1, now));
    return new LimitDecision.RateLimited(Duration.ofNanos(waitNanos));
  }
}
