package org.kumquatvane.http;

import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.engine.ResponseHead;

/** Result of checking the head of a backend server's response. */
public sealed interface ResponseCheck {
  /**
   * The response belongs to the attempt.
   *
   * @param head parts of the head that the engine evaluates
   */
  record Usable(ResponseHead head) implements ResponseCheck {}

  /**
   * The response must not reach the caller; its connection is closed.
   *
   * @param failure why the response is rejected
   */
  record Unusable(AttemptFailure failure) implements ResponseCheck {}
}
