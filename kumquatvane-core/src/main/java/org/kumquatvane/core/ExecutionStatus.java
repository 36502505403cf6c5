package org.kumquatvane.core;

/** What a refusal states about the caller's request; exactly one value is sent with each answer. */
public enum ExecutionStatus {
  /** No backend server ran the request. */
  NOT_RUN("not-run"),
  /** A backend server may have run the request; its outcome is unknown. */
  MAY_HAVE_RUN("may-have-run"),
  /** A backend server ran the request and its answer is attached. */
  RUN("run");

  private final String token;

  ExecutionStatus(String token) {
    this.token = token;
  }

  /**
   * Returns the word used in the header and in the problem document.
   *
   * @return a stable lower-case token
   */
  public String token() {
    return token;
  }
}
