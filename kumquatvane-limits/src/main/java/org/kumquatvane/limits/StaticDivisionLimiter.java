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
import org.kumquatvane.limits.internal.EffectiveRate;

/**
 * Gives each VM the fixed fraction {@code 1 / maximumVmCount} of each workspace.
 *
 * <p>The simplest mechanism that keeps the bound. It refuses requests within the rate when they are
 * spread unevenly over the VMs, and every request of a workspace whose burst is smaller than the
 * number of VMs.
 */
public final class StaticDivisionLimiter implements RateLimiter, DocumentListener {
  private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(60);

  private final RankedLock lock = new RankedLock(LockRank.LIMITS);
  private final Clock clock;
  private final Map<WorkspaceId, EffectiveRate> rates = new HashMap<>();
  private final Map<WorkspaceId, TokenBucket> buckets = new HashMap<>();
  private double fraction;
  private long refillFromNanos;
  private boolean stopped;

  /**
   * Creates a limiter that admits nothing before the first document.
   *
   * @param clock clock of the buckets
   */
  public StaticDivisionLimiter(Clock clock) {
    this.clock = clock;
    refillFromNanos = clock.monotonicNanos();
  }

  /**
   * Starts with empty buckets after another mechanism was in use.
   *
   * @param fromNanos monotonic time from which tokens are refilled
   */
  public void start(long fromNanos) {
    lock.run(
        () -> {
          buckets.clear();
          refillFromNanos = fromNanos;
          stopped = false;
        });
  }

  /** Admits nothing until it is started again. */
  public void stop() {
    lock.run(() -> stopped = true);
  }

  @Override
  public void documentInForce(Document document) {
    lock.run(() -> apply(document));
  }

  private void apply(Document document) {
    long now = clock.monotonicNanos();
    Map<WorkspaceId, EffectiveRate> updated = new HashMap<>();
    document
        .workspaces()
        .forEach(
            workspace ->
                updated.put(
                    workspace.id(),
                    EffectiveRate.of(workspace.rate(), rates.get(workspace.id()), now)));
    buckets.keySet().retainAll(updated.keySet());
    if (fraction > 0 && fraction != 1.0 / document.fleet().maximumVmCount()) {
      // Otherwise new buckets would be refilled for the past with the new fraction.
      refillFromNanos = Math.max(refillFromNanos, now);
    }
    fraction = 1.0 / document.fleet().maximumVmCount();
    rates.clear();
    rates.putAll(updated);
    buckets.forEach(
        (id, bucket) -> {
          EffectiveRate effectiveRate = rates.get(id);
          if (effectiveRate != null) {
            bucket.resize(effectiveRate.rate(), fraction, now);
          }
        });
  }

  @Override
  public void acquire(WorkspaceId workspace, Deadline deadline, Consumer<LimitDecision> decision) {
    decision.accept(lock.call(() -> decide(workspace)));
  }

  private LimitDecision decide(WorkspaceId workspace) {
    @Nullable EffectiveRate effectiveRate = rates.get(workspace);
    long now = clock.monotonicNanos();
    if (effectiveRate == null || stopped || now - refillFromNanos < 0) {
      return new LimitDecision.ShareUnsettled();
    }
    // A new bucket is refilled as if it had existed since the start.
    long since = Math.max(refillFromNanos, effectiveRate.sinceNanos());
    TokenBucket bucket =
        buckets.computeIfAbsent(
            workspace, unused -> new TokenBucket(effectiveRate.rate(), fraction, since));
    if (bucket.tryConsume(1, now)) {
      return new LimitDecision.Admitted();
    }
    long waitNanos = Math.min(MAXIMUM_RETRY_AFTER.toNanos(), bucket.nanosUntilAvailable(1, now));
    return new LimitDecision.RateLimited(Duration.ofNanos(waitNanos));
  }
}
