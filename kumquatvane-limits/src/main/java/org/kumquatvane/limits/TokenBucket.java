package org.kumquatvane.limits;

import org.kumquatvane.document.RateLimit;

/** Token bucket over a changing fraction of a workspace's rate and burst. Not thread-safe. */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double refillPerNano;
  private double capacity;
  private double level;
  private long updatedNanos;

  /**
   * Creates a full bucket.
   *
   * @param rate rate and burst of the workspace
   * @param fraction owned part of both, 0 to 1
   * @param nowNanos monotonic time
   */
  public TokenBucket(RateLimit rate, double fraction, long nowNanos) {
    resize(rate, fraction, nowNanos);
    level = capacity;
  }

  /**
   * Changes the owned part; tokens above the new capacity are dropped, none are added.
   *
   * @param rate rate and burst of the workspace
   * @param fraction owned part of both, 0 to 1
   * @param nowNanos monotonic time
   */
  public void resize(RateLimit rate, double fraction, long nowNanos) {
    refill(nowNanos);
    refillPerNano = rate.requestsPerSecond() * fraction / NANOS_PER_SECOND;
    capacity = rate.burstRequests() * fraction;
    level = Math.min(level, capacity);
  }

  /**
   * Takes tokens if there are enough.
   *
   * @param amount tokens to take
   * @param nowNanos monotonic time
   * @return whether they were taken
   */
  public boolean take(double amount, long nowNanos) {
    refill(nowNanos);
    if (level < amount) {
      return false;
    }
    level -= amount;
    return true;
  }

  /**
   * Returns the time until the bucket holds an amount.
   *
   * @param amount tokens
   * @param nowNanos monotonic time
   * @return nanoseconds, {@code Long.MAX_VALUE} if it never will
   */
  public long nanosUntil(double amount, long nowNanos) {
    refill(nowNanos);
    if (amount <= level) {
      return 0;
    }
    if (amount > capacity || refillPerNano <= 0) {
      return Long.MAX_VALUE;
    }
    return (long) Math.ceil((amount - level) / refillPerNano);
  }

  /**
   * Returns the tokens in the bucket.
   *
   * @param nowNanos monotonic time
   * @return tokens, not negative
   */
  public double level(long nowNanos) {
    refill(nowNanos);
    return level;
  }

  /** Drops all tokens. */
  public void empty() {
    level = 0;
  }

  private void refill(long nowNanos) {
    long elapsed = Math.max(0, nowNanos - updatedNanos);
    level = Math.min(capacity, level + elapsed * refillPerNano);
    updatedNanos = nowNanos;
  }
}
