package org.kumquatvane.limits;

import org.kumquatvane.document.RateLimit;

/**
 * Admissions of one workspace across the fleet on the reference clock, compared with one ideal
 * bucket.
 *
 * <p>Over every interval of length T at most {@code rate * T + burst} requests may be admitted.
 * With x(k) = k - rate * t(k) for the k-th admission this is x(j) - x(i) + 1 <= burst for all i <=
 * j, so one pass that keeps the lowest x is sufficient.
 */
final class AdmissionHistory {
  private static final double NANOS_PER_SECOND = 1e9;

  private final RateLimit rate;
  private long admitted;
  private long ideallyAdmitted;
  private double lowestOffset = Double.MAX_VALUE;
  private double largestExcess = -Double.MAX_VALUE;
  private double idealTokens;
  private long updatedNanos;

  AdmissionHistory(RateLimit rate, long nowNanos) {
    this.rate = rate;
    idealTokens = rate.burstRequests();
    updatedNanos = nowNanos;
  }

  /** Records the arrival of a request, on which the ideal bucket decides at once. */
  void recordArrival(long nowNanos) {
    idealTokens =
        Math.min(
            rate.burstRequests(),
            idealTokens + rate.requestsPerSecond() * (nowNanos - updatedNanos) / NANOS_PER_SECOND);
    updatedNanos = nowNanos;
    if (idealTokens >= 1) {
      idealTokens -= 1;
      ideallyAdmitted++;
    }
  }

  void recordAdmission(long nowNanos) {
    double offset = admitted - rate.requestsPerSecond() * nowNanos / NANOS_PER_SECOND;
    admitted++;
    lowestOffset = Math.min(lowestOffset, offset);
    largestExcess = Math.max(largestExcess, offset - lowestOffset + 1 - rate.burstRequests());
  }

  long admitted() {
    return admitted;
  }

  /** Returns how many more requests one bucket for the whole fleet would have admitted. */
  long wrongfullyRefused() {
    return Math.max(0, ideallyAdmitted - admitted);
  }

  /**
   * Returns the requests above the bound in the worst interval; not positive if the bound holds.
   */
  double largestExcess() {
    return largestExcess;
  }
}
