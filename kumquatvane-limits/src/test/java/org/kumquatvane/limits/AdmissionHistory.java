package org.kumquatvane.limits;

import org.kumquatvane.document.RateLimit;

/**
 * Admissions of one workspace over the whole fleet in true time, compared with one ideal bucket.
 *
 * <p>Over every interval of length T at most {@code rate * T + burst} requests may be admitted.
 * With x(k) = k - rate * t(k) for the k-th admission this is x(j) - x(i) + 1 <= burst for all i <=
 * j, so the lowest x so far decides in one pass.
 */
final class AdmissionHistory {
  private static final double NANOS = 1e9;

  private final RateLimit rate;
  private long admitted;
  private long wrongfullyRefused;
  private double lowest = Double.MAX_VALUE;
  private double largestExcess = -Double.MAX_VALUE;
  private double level;
  private long updatedNanos;

  AdmissionHistory(RateLimit rate, long nowNanos) {
    this.rate = rate;
    level = rate.burstRequests();
    updatedNanos = nowNanos;
  }

  void admitted(long nowNanos) {
    refill(nowNanos);
    level -= 1;
    double offset = admitted - rate.requestsPerSecond() * nowNanos / NANOS;
    admitted++;
    lowest = Math.min(lowest, offset);
    largestExcess = Math.max(largestExcess, offset - lowest + 1 - rate.burstRequests());
  }

  /** Counts a refusal as wrongful if the workspace had a token left somewhere. */
  boolean refused(long nowNanos) {
    refill(nowNanos);
    boolean wrongful = level >= 1;
    wrongfullyRefused += wrongful ? 1 : 0;
    return wrongful;
  }

  private void refill(long nowNanos) {
    level =
        Math.min(
            rate.burstRequests(),
            level + rate.requestsPerSecond() * (nowNanos - updatedNanos) / NANOS);
    updatedNanos = nowNanos;
  }

  long admitted() {
    return admitted;
  }

  long wrongfullyRefused() {
    return wrongfullyRefused;
  }

  /** Requests above the bound in the worst interval; not positive if the bound holds. */
  double largestExcess() {
    return largestExcess;
  }
}
