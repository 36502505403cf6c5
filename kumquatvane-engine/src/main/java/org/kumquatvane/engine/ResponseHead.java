package org.kumquatvane.engine;

/**
 * What the engine needs of the head of a backend server's answer.
 *
 * @param status HTTP status
 * @param notRun whether the backend server states that it did not run the request
 * @param draining whether the instance announces that it leaves
 * @param fromOtherInstance whether another instance answers at the address
 */
public record ResponseHead(
    int status, boolean notRun, boolean draining, boolean fromOtherInstance) {
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Creates the head of an answer of the expected instance.
   *
   * @param status HTTP status
   * @param notRun whether the backend server states that it did not run the request
   * @param draining whether the instance announces that it leaves
   */
  public ResponseHead(int status, boolean notRun, boolean draining) {
    this(status, notRun, draining, false);
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
