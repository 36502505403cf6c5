package org.kumquatvane.http;

import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.engine.ResponseHead;

/** Whether the head of a backend server's answer can be used. */
public sealed interface ResponseCheck {
  /**
   * It answers the attempt.
   *
   * @param head what the engine needs of it
   */
  record Usable(ResponseHead head) implements ResponseCheck {}

  /**
   * It must not reach the caller; the connection is closed.
   *
   * @param failure why
   */
  record Unusable(AttemptFailure failure) implements ResponseCheck {}
}
