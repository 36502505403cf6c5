package org.kumquatvane.http.internal;

import org.kumquatvane.engine.Refusal;

/** Result of preparing a request body. */
sealed interface BodyResult {
  /** The body can be sent. */
  record Ready(CallerBody body) implements BodyResult {}

  /** The request is refused because of its body. */
  record Refused(Refusal refusal) implements BodyResult {}
}
