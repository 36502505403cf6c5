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
 * Maps the requests and decisions of the engine to the header fields and status codes that callers
 * and backend servers use.
 */
public interface HttpDialect {
  /**
   * Validates and parses the head of a caller's request.
   *
   * @param request the head
   * @return the parsed request, or why it is refused
   */
  RequestHeadResult readHead(HttpRequestMetaData request);

  /**
   * Creates the response for a refused request.
   *
   * @param responses creates the response
   * @param allocator allocates its body
   * @param requestId ID of the refused request
   * @param refusal the refusal
   * @return the response
   */
  StreamingHttpResponse createRefusal(
      StreamingHttpResponseFactory responses,
      BufferAllocator allocator,
      RequestId requestId,
      Refusal refusal);

  /**
   * Sets the header fields of an attempt, except the fields that describe its body.
   *
   * @param request the caller's request
   * @param outgoing the request for the backend server
   * @param plan the attempt
   * @param remainingMillis time left for the backend server, in milliseconds
   */
  void prepareAttempt(
      HttpRequestMetaData request,
      StreamingHttpRequest outgoing,
      AttemptPlan plan,
      long remainingMillis);

  /**
   * Returns the field in which backend servers that may respond to a request twice, the second time
   * late, name the request. A response that names an earlier request is then followed by another.
   *
   * @return name of the field, in lower case; empty if such a response may be the only one
   */
  String repeatedResponseIdField();

  /**
   * Checks the head of a backend server's response.
   *
   * @param response the head
   * @param plan the attempt that the response must belong to
   * @param hasBody whether the response has a body
   * @return whether the response can be used
   */
  ResponseCheck checkResponse(HttpResponseMetaData response, AttemptPlan plan, boolean hasBody);

  /**
   * Sets the header fields of the response to the caller.
   *
   * @param upstream head of the backend server's response
   * @param response the response to the caller
   * @param requestId the request
   * @param attempts number of attempts made
   */
  void prepareResponse(
      HttpResponseMetaData upstream,
      StreamingHttpResponse response,
      RequestId requestId,
      int attempts);

  /**
   * Returns whether short responses are read completely before they are forwarded, so that a
   * truncated response can still be retried or refused.
   *
   * @return whether to buffer short responses
   */
  boolean buffersShortResponses();
}
