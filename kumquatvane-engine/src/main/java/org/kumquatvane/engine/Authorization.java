package org.kumquatvane.engine;

/** Outcome of checking key, route and permission. */
public sealed interface Authorization {
  /**
   * The request may go on.
   *
   * @param request the checked request
   */
  record Granted(AuthorizedRequest request) implements Authorization {}

  /**
   * The request is refused.
   *
   * @param refusal the answer
   */
  record Denied(Refusal refusal) implements Authorization {}
}
