package org.kumquatvane.limits;

import org.kumquatvane.document.RateLimit;

/** Token bucket over a changing fraction of a workspace's rate and burst. Not thread-safe. */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Reduces the refill so that a clock that is fast by the drift bound does not exceed the rate.
   */
  private static final double DRIFT_FACTOR = 1 - LeaseSettings.DRIFT_BOUND;

  /** Rounding errors in fractions that sum to 1 must not cost a whole token. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private double refillPerNano;
  private double capacity;
  private double tokens;
  private long updatedNanos;

  /**
   * Creates an empty bucket. A new bucket holds no tokens, since another VM may just have spent
   * those of the same fraction.
   *
   * @param rate rate and burst of the workspace
   * @param fraction owned fraction of both, 0 to 1
   * @param nowNanos monotonic time
   */
  public TokenBucket(RateLimit rate, double fraction, long nowNanos) {
    updatedNanos = nowNanos;
    resize(rate, fraction, nowNanos);
  }

  /**
   * Changes the owned fraction; tokens above the new capacity are dropped, none are added.
   *
   * @param rate rate and burst of the workspace
   * @param fraction owned fraction of both, 0 to 1
   * @param nowNanos monotonic time
   */
  public void resize(RateLimit rate, double fraction, long nowNanos) {
    resize(rate, fraction, 0, nowNanos);
  }

  /**
   * Changes the owned fraction and the capacity reserved for tokens in transit.
   *
   * @param rate rate and burst of the workspace
   * @param fraction owned fraction of both, 0 to 1
   * @param reserved tokens granted to other VMs that may still be unspent
   * @param nowNanos monotonic time
   */
  public void resize(RateLimit rate, double fraction, double reserved, long nowNanos) {
    refill(nowNanos);
    refillPerNano = rate.requestsPerSecond() * fraction * DRIFT_FACTOR / NANOS_PER_SECOND;
    capacity = Math.max(0, rate.burstRequests() * fraction - reserved);
    tokens = Math.min(tokens, capacity);
  }

  /**
   * Consumes tokens if enough are available.
   *
   * @param amount tokens to consume
   * @param nowNanos monotonic time
   * @return whether they were consumed
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
   * Returns the time until a number of tokens is available.
   *
   * @param amount tokens
   * @param nowNanos monotonic time
   * @return nanoseconds, {@code Long.MAX_VALUE} if they never will be
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
   * Returns the available tokens.
   *
   * @param nowNanos monotonic time
   * @return tokens, not negative
   */
  public double availableTokens(long nowNanos) {
    refill(nowNanos);
    return tokens;
  }

  /**
   * Adds tokens transferred from another VM; tokens above the capacity are dropped.
   *
   * @param amount tokens, not negative
   * @param nowNanos monotonic time
   */
  public void add(double amount, long nowNanos) {
    refill(nowNanos);
    tokens = Math.min(capacity, tokens + amount);
  }

  /**
   * Returns whether the bucket is full.
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
