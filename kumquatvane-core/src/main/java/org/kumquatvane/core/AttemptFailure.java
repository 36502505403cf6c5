package org.kumquatvane.core;

/** How an attempt at a backend server failed. */
public enum AttemptFailure {
  /** No connection could be made; nothing was written. */
  CONNECT_FAILED(NotRunGround.NOTHING_WRITTEN, Reason.RETRY_CONNECT_FAILED, Reason.CONNECT_FAILED),
  /** The backend server rejected the request and stated that it did not run it. */
  SHED(NotRunGround.STATED_BY_SERVER, Reason.RETRY_SHED, Reason.SHED_BY_BACKEND),
  /** The connection broke after bytes of the request were written. */
  CONNECTION_LOST(NotRunGround.NONE, Reason.RETRY_CONNECTION_LOST, Reason.CONNECTION_LOST),
  /** No response head arrived in time. */
  TIMED_OUT(NotRunGround.NONE, Reason.RETRY_TIMED_OUT, Reason.DEADLINE_PASSED_RUNNING),
  /** The backend server returned a server error and did not state that the request was not run. */
  SERVER_ERROR(NotRunGround.NONE, Reason.RETRY_SERVER_ERROR, Reason.INTERNAL_ERROR),
  /**
   * The response names another request, or states "not run" without a name on a connection that has
   * carried other requests.
   */
  ANSWER_CROSSED(NotRunGround.NONE, Reason.RETRY_ANSWER_CROSSED, Reason.ANSWER_CROSSED),
  /**
   * The end of the response cannot be verified, or it ended early before any of it was forwarded.
   */
  ANSWER_INCOMPLETE(NotRunGround.NONE, Reason.RETRY_CONNECTION_LOST, Reason.ANSWER_INCOMPLETE);

  private final NotRunGround notRunGround;
  private final Reason retryReason;
  private final Reason refusalReason;

  AttemptFailure(NotRunGround notRunGround, Reason retryReason, Reason refusalReason) {
    this.notRunGround = notRunGround;
    this.retryReason = retryReason;
    this.refusalReason = refusalReason;
  }

  /**
   * Returns whether the request is known not to have run.
   *
   * @return true only if nothing was written or the backend server stated so
   */
  public boolean isKnownNotRun() {
    return notRunGround != NotRunGround.NONE;
  }

  /**
   * Returns why the request counts as not run.
   *
   * @return the ground, or {@link NotRunGround#NONE} if the request may have run
   */
  public NotRunGround notRunGround() {
    return notRunGround;
  }

  /**
   * Returns the reason to report when the attempt is retried.
   *
   * @return a reason of kind retry
   */
  public Reason retryReason() {
    return retryReason;
  }

  /**
   * Returns the reason to report when the request is refused after this attempt.
   *
   * @return a reason of kind refusal; a server error is forwarded to the caller instead
   */
  public Reason refusalReason() {
    return refusalReason;
  }
}
