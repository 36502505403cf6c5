package org.kumquatvane.engine;

import java.time.Duration;
import java.util.Optional;
import org.kumquatvane.core.ExecutionStatus;
import org.kumquatvane.core.Reason;

/**
 * Error response that the proxy generates itself.
 *
 * @param reason the reason
 * @param execution execution status reported to the caller
 * @param detail description of the error; must not contain a key or secret
 * @param retryAfter time after which the caller may retry, if known
 */
public record Refusal(
    Reason reason, ExecutionStatus execution, String detail, Optional<Duration> retryAfter) {
  /**
   * Creates a refusal with the execution status of its reason.
   *
   * @param reason the reason
   * @param detail description of the error
   * @return the refusal
   */
  public static Refusal of(Reason reason, String detail) {
    return new Refusal(reason, reason.execution(), detail, Optional.empty());
  }

  /**
   * Adds the time after which the caller may retry.
   *
   * @param duration the time
   * @return the refusal with that time
   */
  public Refusal withRetryAfter(Duration duration) {
    return new Refusal(reason, execution, detail, Optional.of(duration));
  }
}
