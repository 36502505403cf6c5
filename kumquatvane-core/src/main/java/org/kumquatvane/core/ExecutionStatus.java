package org.kumquatvane.core;

/** Whether the caller's request was executed; exactly one value is sent with each response. */
public enum ExecutionStatus {
  /** No backend server ran the request. */
  NOT_RUN("not-run"),
  /** A backend server may have run the request; its outcome is unknown. */
  MAY_HAVE_RUN("may-have-run"),
  /** A backend server ran the request and its response is attached. */
  RUN("run");

  private final String token;

  ExecutionStatus(String token) {
    this.token = token;
  }

  /**
   * Returns the token used in the header and in the problem document.
   *
   * @return a stable lower-case token
   */
  public String token() {
    return token;
  }
}
