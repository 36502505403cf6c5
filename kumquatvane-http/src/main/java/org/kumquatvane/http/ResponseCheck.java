package org.kumquatvane.http;

import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.engine.ResponseHead;

/** Result of checking the head of a backend server's response. */
public sealed interface ResponseCheck {
  /**
   * Nothing in the response contradicts that it belongs to the attempt.
   *
   * @param head parts of the head that the engine evaluates
   * @param namesRequest whether the response names the request of the attempt
   */
  record Usable(ResponseHead head, boolean namesRequest) implements ResponseCheck {}

  /**
   * The response must not reach the caller; its connection is closed.
   *
   * @param failure why the response is rejected
   */
  record Unusable(AttemptFailure failure) implements ResponseCheck {}
}
