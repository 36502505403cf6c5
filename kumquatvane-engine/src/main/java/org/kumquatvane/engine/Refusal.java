package org.kumquatvane.engine;

import java.time.Duration;
import java.util.Optional;
import org.kumquatvane.core.ExecutionStatus;
import org.kumquatvane.core.Reason;

/**
 * Answer that the proxy gives itself.
 *
 * @param reason the reason
 * @param execution what is stated about the execution of the request
 * @param detail what exactly was wrong; must contain no key or secret
 * @param retryAfter when to send again, if that is known
 */
public record Refusal(
    Reason reason, ExecutionStatus execution, String detail, Optional<Duration> retryAfter) {
  /**
   * Creates a refusal with the execution status of its reason.
   *
   * @param reason the reason
   * @param detail what exactly was wrong
   * @return the refusal
   */
  public static Refusal of(Reason reason, String detail) {
    return new Refusal(reason, reason.execution(), detail, Optional.empty());
  }

  /**
   * Adds the time after which the caller may send again.
   *
   * @param duration the time
   * @return the refusal with that time
   */
  public Refusal withRetryAfter(Duration duration) {
    return new Refusal(reason, execution, detail, Optional.of(duration));
  }
}
