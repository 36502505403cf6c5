package org.kumquatvane.limits.internal;

import org.jspecify.annotations.Nullable;
import org.kumquatvane.document.RateLimit;

/**
 * Rate of a workspace and the time since which it has been in force on this VM.
 *
 * @param rate rate and burst across the fleet
 * @param sinceNanos monotonic time
 */
public record EffectiveRate(RateLimit rate, long sinceNanos) {
  /**
   * Returns the entry for a document.
   *
   * @param rate the rate of the document
   * @param previous the entry of the previous document, if any
   * @param nowNanos monotonic time
   * @return the previous entry if the rate is the same
   */
  public static EffectiveRate of(RateLimit rate, @Nullable EffectiveRate previous, long nowNanos) {
    return previous != null && previous.rate.equals(rate)
        ? previous
        : new EffectiveRate(rate, nowNanos);
  }
}
