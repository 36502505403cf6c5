package org.kumquatvane.http;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.engine.Refusal;

/**
 * The header fields and statuses that callers and backend servers use for what the engine decides.
 */
public interface HttpDialect {
  /**
   * Checks the head of a caller's request and reads what the engine needs from it.
   *
   * @param request the head
   * @return the request, or why it is refused
   */
  RequestHeadResult readHead(HttpRequestMetaData request);

  /**
   * Writes a refusal.
   *
   * @param responses creates the response
   * @param allocator allocates its body
   * @param requestId the refused request
   * @param refusal the refusal
   * @return the response
   */
  StreamingHttpResponse createRefusal(
      StreamingHttpResponseFactory responses,
      BufferAllocator allocator,
      RequestId requestId,
      Refusal refusal);

  /**
   * Sets the header fields of an attempt, without the fields that describe its body.
   *
   * @param request the caller's request
   * @param outgoing the request for the backend server
   * @param plan the attempt
   * @param remainingMillis time that the backend server has
   */
  void prepareAttempt(
      HttpRequestMetaData request,
      StreamingHttpRequest outgoing,
      AttemptPlan plan,
      long remainingMillis);

  /**
   * Judges the head of a backend server's answer.
   *
   * @param response the head
   * @param plan the attempt that it should answer
   * @param hasBody whether a body belongs to the answer
   * @return whether it can be used
   */
  ResponseCheck checkResponse(HttpResponseMetaData response, AttemptPlan plan, boolean hasBody);

  /**
   * Sets the header fields of the answer that the caller gets.
   *
   * @param upstream head of the backend server's answer
   * @param response the answer to the caller
   * @param requestId the request
   * @param attempts attempts made for it
   */
  void prepareResponse(
      HttpResponseMetaData upstream,
      StreamingHttpResponse response,
      RequestId requestId,
      int attempts);

  /**
   * Tells whether short answers are read whole before anything is passed on, so that a broken one
   * can still be replaced or refused.
   *
   * @return whether to buffer them
   */
  boolean buffersShortResponses();
}
