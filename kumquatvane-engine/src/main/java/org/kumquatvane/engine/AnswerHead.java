package org.kumquatvane.engine;

/**
 * What the engine needs of the head of a backend server's answer.
 *
 * @param status HTTP status
 * @param saysNotRun whether the backend server states that it did not run the request
 * @param saysDraining whether the instance announces that it leaves
 * @param saysOtherInstance whether another instance answers at the address
 */
public record AnswerHead(
    int status, boolean saysNotRun, boolean saysDraining, boolean saysOtherInstance) {
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Creates the head of an answer of the expected instance.
   *
   * @param status HTTP status
   * @param saysNotRun whether the backend server states that it did not run the request
   * @param saysDraining whether the instance announces that it leaves
   */
  public AnswerHead(int status, boolean saysNotRun, boolean saysDraining) {
    this(status, saysNotRun, saysDraining, false);
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
