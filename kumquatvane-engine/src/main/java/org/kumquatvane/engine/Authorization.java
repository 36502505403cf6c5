package org.kumquatvane.engine;

/** Outcome of checking key, route and permission. */
public sealed interface Authorization {
  /**
   * The request may proceed.
   *
   * @param request the authorized request
   */
  record Granted(AuthorizedRequest request) implements Authorization {}

  /**
   * The request is refused.
   *
   * @param refusal the error response
   */
  record Denied(Refusal refusal) implements Authorization {}
}
