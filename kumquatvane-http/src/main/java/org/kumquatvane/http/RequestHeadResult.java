package org.kumquatvane.http;

import org.kumquatvane.core.RequestId;
import org.kumquatvane.engine.CallerRequest;
import org.kumquatvane.engine.Refusal;

/** Result of parsing the head of a caller's request. */
public sealed interface RequestHeadResult {
  /**
   * The head is valid.
   *
   * @param request the parsed request
   */
  record Valid(CallerRequest request) implements RequestHeadResult {}

  /**
   * The request is refused.
   *
   * @param requestId ID of the request; generated if the caller sent no usable one
   * @param refusal why the request is refused
   */
  record Invalid(RequestId requestId, Refusal refusal) implements RequestHeadResult {}
}
