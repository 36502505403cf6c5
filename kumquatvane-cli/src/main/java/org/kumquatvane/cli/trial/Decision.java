package org.kumquatvane.cli.trial;

import org.kumquatvane.core.Reason;
import org.kumquatvane.document.Route;

/** Decision of a document about a request, before rate limits and instance selection apply. */
sealed interface Decision {
  /**
   * The request is passed on.
   *
   * @param route the route with its rules
   */
  record Routed(Route route) implements Decision {
    @Override
    public String toString() {
      return "route "
          + route.id()
          + ", service "
          + route.service()
          + ", timeoutMillis "
          + route.timeout().toMillis()
          + ", idempotent "
          + route.idempotent();
    }
  }

  /**
   * The request is refused.
   *
   * @param reason reason of the refusal
   */
  record Refused(Reason reason) implements Decision {
    @Override
    public String toString() {
      return "refused " + reason.code();
    }
  }
}
