package org.kumquatvane.core;

/** How an attempt at a backend server failed. */
public enum AttemptFailure {
  /** No connection could be made; nothing was written. */
  CONNECT_FAILED(true, Reason.RETRY_CONNECT_FAILED, Reason.CONNECT_FAILED),
  /** The backend server answered that it did not run the request. */
  SHED(true, Reason.RETRY_SHED, Reason.SHED_BY_BACKEND),
  /** The connection broke after bytes of the request were written. */
  CONNECTION_LOST(false, Reason.RETRY_CONNECTION_LOST, Reason.CONNECTION_LOST),
  /** No head of an answer came in time. */
  TIMED_OUT(false, Reason.RETRY_TIMED_OUT, Reason.DEADLINE_PASSED_RUNNING),
  /** The backend server answered with a server error and does not say that it did not run. */
  SERVER_ERROR(false, Reason.RETRY_SERVER_ERROR, Reason.INTERNAL_ERROR),
  /** The answer's request id is another request's. */
  ANSWER_CROSSED(false, Reason.RETRY_ANSWER_CROSSED, Reason.ANSWER_CROSSED),
  /** The end of the answer cannot be proved, or it ended early before anything was passed on. */
  ANSWER_INCOMPLETE(false, Reason.RETRY_CONNECTION_LOST, Reason.ANSWER_INCOMPLETE);

  private final boolean knownNotRun;
  private final Reason retryReason;
  private final Reason refusalReason;

  AttemptFailure(boolean knownNotRun, Reason retryReason, Reason refusalReason) {
    this.knownNotRun = knownNotRun;
    this.retryReason = retryReason;
    this.refusalReason = refusalReason;
  }

  /**
   * Tells whether the request is known not to have run.
   *
   * @return true only if nothing was written or the backend server said so
   */
  public boolean isKnownNotRun() {
    return knownNotRun;
  }

  /**
   * Returns the reason to give when the attempt is repeated.
   *
   * @return a reason of kind retry
   */
  public Reason retryReason() {
    return retryReason;
  }

  /**
   * Returns the reason to give when the request is refused after this attempt.
   *
   * @return a reason of kind refusal; a server error is passed on to the caller instead
   */
  public Reason refusalReason() {
    return refusalReason;
  }
}
