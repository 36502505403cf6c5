package org.kumquatvane.engine;

import java.util.Optional;
import org.kumquatvane.core.Deadline;

/**
 * The part of a backend server's response head that the engine uses.
 *
 * @param status HTTP status
 * @param notRun whether the backend server reports that it did not run the request
 * @param draining whether the instance reports that it is draining
 * @param fromOtherInstance whether another instance responded at the address
 * @param avoidUntil until when the instance wants no request of this VM, if it says so
 */
public record ResponseHead(
    int status,
    boolean notRun,
    boolean draining,
    boolean fromOtherInstance,
    Optional<Deadline> avoidUntil) {
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Creates the head of a response of the expected instance.
   *
   * @param status HTTP status
   * @param notRun whether the backend server reports that it did not run the request
   * @param draining whether the instance reports that it is draining
   */
  public ResponseHead(int status, boolean notRun, boolean draining) {
    this(status, notRun, draining, false, Optional.empty());
  }

  /**
   * Tells whether the status is a server error.
   *
   * @return true for 500 and above
   */
  public boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }
}
