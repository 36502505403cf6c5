package org.kumquatvane.limits;

import org.kumquatvane.document.RateLimit;

/** Token bucket over a changing fraction of a workspace's rate and burst. Not thread-safe. */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  /** A clock that runs fast by the drift bound still refills no more than the rate. */
  private static final double DRIFT_FACTOR = 1 - LeaseSettings.DRIFT_BOUND;

  /** Rounding of fractions that add up to 1 must not cost a whole token. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private double refillPerNano;
  private double capacity;
  private double tokens;
  private long updatedNanos;

  /**
   * Creates an empty bucket. A new bucket holds no tokens, since another VM may have spent the ones
   * of the same fraction just before.
   *
   * @param rate rate and burst of the workspace
   * @param fraction owned part of both, 0 to 1
   * @param nowNanos monotonic time
   */
  public TokenBucket(RateLimit rate, double fraction, long nowNanos) {
    updatedNanos = nowNanos;
    resize(rate, fraction, nowNanos);
  }

  /**
   * Changes the owned part; tokens above the new capacity are dropped, none are added.
   *
   * @param rate rate and burst of the workspace
   * @param fraction owned part of both, 0 to 1
   * @param nowNanos monotonic time
   */
  public void resize(RateLimit rate, double fraction, long nowNanos) {
    resize(rate, fraction, 0, nowNanos);
  }

  /**
   * Changes the owned part and the part of the capacity that tokens in transit occupy.
   *
   * @param rate rate and burst of the workspace
   * @param fraction owned part of both, 0 to 1
   * @param reserved tokens that were granted to others and may still be unspent
   * @param nowNanos monotonic time
   */
  public void resize(RateLimit rate, double fraction, double reserved, long nowNanos) {
    refill(nowNanos);
    refillPerNano = rate.requestsPerSecond() * fraction * DRIFT_FACTOR / NANOS_PER_SECOND;
    capacity = Math.max(0, rate.burstRequests() * fraction - reserved);
    tokens = Math.min(tokens, capacity);
  }

  /**
   * Takes tokens if there are enough.
   *
   * @param amount tokens to take
   * @param nowNanos monotonic time
   * @return whether they were taken
   */
  public boolean tryConsume(double amount, long nowNanos) {
    refill(nowNanos);
    if (tokens + ROUNDING_TOLERANCE < amount) {
      return false;
    }
    tokens = Math.max(0, tokens - amount);
    return true;
  }

  /**
   * Returns the time until the bucket holds an amount.
   *
   * @param amount tokens
   * @param nowNanos monotonic time
   * @return nanoseconds, {@code Long.MAX_VALUE} if it never will
   */
  public long nanosUntilAvailable(double amount, long nowNanos) {
    refill(nowNanos);
    if (amount <= tokens + ROUNDING_TOLERANCE) {
      return 0;
    }
    if (amount > capacity + ROUNDING_TOLERANCE || refillPerNano <= 0) {
      return Long.MAX_VALUE;
    }
    return (long) Math.ceil((amount - tokens) / refillPerNano);
  }

  /**
   * Returns the tokens in the bucket.
   *
   * @param nowNanos monotonic time
   * @return tokens, not negative
   */
  public double availableTokens(long nowNanos) {
    refill(nowNanos);
    return tokens;
  }

  /**
   * Adds tokens that another VM gave up; what exceeds the capacity is lost.
   *
   * @param amount tokens, not negative
   * @param nowNanos monotonic time
   */
  public void add(double amount, long nowNanos) {
    refill(nowNanos);
    tokens = Math.min(capacity, tokens + amount);
  }

  /**
   * Tells whether the bucket holds all it can.
   *
   * @param nowNanos monotonic time
   * @return whether the capacity is reached
   */
  public boolean isFull(long nowNanos) {
    refill(nowNanos);
    return tokens >= capacity;
  }

  /** Drops all tokens. */
  public void clear() {
    tokens = 0;
  }

  private void refill(long nowNanos) {
    long elapsed = Math.max(0, nowNanos - updatedNanos);
    tokens = Math.min(capacity, tokens + elapsed * refillPerNano);
    updatedNanos = nowNanos;
  }
}
