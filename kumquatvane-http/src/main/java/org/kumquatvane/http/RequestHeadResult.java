package org.kumquatvane.http;

import org.kumquatvane.core.RequestId;
import org.kumquatvane.engine.CallerRequest;
import org.kumquatvane.engine.Refusal;

/** Outcome of reading the head of a caller's request. */
public sealed interface RequestHeadResult {
  /**
   * A head that the engine can judge.
   *
   * @param request the request
   */
  record Valid(CallerRequest request) implements RequestHeadResult {}

  /**
   * A head that is refused.
   *
   * @param requestId the request, as far as it could be read
   * @param refusal the refusal
   */
  record Invalid(RequestId requestId, Refusal refusal) implements RequestHeadResult {}
}
