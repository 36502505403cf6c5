package org.kumquatvane.http;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.ExecutionStatus;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.engine.ResponseHead;
import org.kumquatvane.http.internal.BodyFraming;
import org.kumquatvane.http.internal.CallerKeys;
import org.kumquatvane.http.internal.HeaderNames;
import org.kumquatvane.http.internal.ProblemResponses;
import org.kumquatvane.http.internal.RequestHeadReader;

/** Default dialect: Kumquatvane-* header fields and problem documents (docs/api.md). */
public final class KumquatvaneDialect implements HttpDialect {
  private final RequestHeadReader headReader;
  private final InvariantMonitor monitor;

  /**
   * Creates the dialect.
   *
   * @param clock clock of the arrival times
   * @param limits size limits of heads and bodies
   * @param monitor records invariant violations
   */
  public KumquatvaneDialect(Clock clock, MessageSizeLimits limits, InvariantMonitor monitor) {
    headReader = new RequestHeadReader(clock, limits);
    this.monitor = monitor;
  }

  @Override
  public RequestHeadResult readHead(HttpRequestMetaData request) {
    return headReader.read(request);
  }

  @Override
  public StreamingHttpResponse createRefusal(
      StreamingHttpResponseFactory responses,
      BufferAllocator allocator,
      RequestId requestId,
      Refusal refusal) {
    return ProblemResponses.write(responses, allocator, requestId, refusal);
  }

  @Override
  public void prepareAttempt(
      HttpRequestMetaData request,
      StreamingHttpRequest outgoing,
      AttemptPlan plan,
      long remainingMillis) {
    HttpHeaders headers = outgoing.headers();
    MessageHeads.copy(request.headers(), headers, HeaderNames::isForwardedToBackend);
    headers.set(HeaderNames.REQUEST_ID, plan.request().value());
    headers.set(HeaderNames.WORKSPACE, plan.workspace().value());
    headers.set(HeaderNames.TIMEOUT_MILLIS, Long.toString(Math.max(1, remainingMillis)));
    checkNoCallerKey(outgoing, plan.request());
  }

  private void checkNoCallerKey(StreamingHttpRequest outgoing, RequestId requestId) {
    boolean hasKey = CallerKeys.mayContainKey(outgoing.requestTarget());
    for (Map.Entry<CharSequence, CharSequence> field : outgoing.headers()) {
      hasKey |= CallerKeys.mayContainKey(field.getKey());
      hasKey |= CallerKeys.mayContainKey(field.getValue());
    }
    monitor.check(Invariant.KEY_NOT_FORWARDED, !hasKey, "request=" + requestId);
  }

  @Override
  public String repeatedResponseIdField() {
    return "";
  }

  @Override
  public ResponseCheck checkResponse(
      HttpResponseMetaData response, AttemptPlan plan, boolean hasBody) {
    HttpHeaders headers = response.headers();
    boolean isOwn =
        MessageHeads.singleValue(headers, HeaderNames.REQUEST_ID)
            .filter(plan.request().value()::equals)
            .isPresent();
    if (headers.contains(HeaderNames.REQUEST_ID) && !isOwn) {
      return new ResponseCheck.Unusable(AttemptFailure.ANSWER_CROSSED);
    }
    if (hasBody && !isFramed(headers)) {
      return new ResponseCheck.Unusable(AttemptFailure.ANSWER_INCOMPLETE);
    }
    return new ResponseCheck.Usable(
        new ResponseHead(
            response.status().code(),
            hasValue(headers, HeaderNames.EXECUTION, ExecutionStatus.NOT_RUN.token()),
            hasValue(headers, HeaderNames.DRAINING, "true")),
        isOwn);
  }

  /**
   * Returns whether the end of the body is explicit. Otherwise the body ends when the connection
   * closes, and truncation cannot be detected.
   */
  private static boolean isFramed(HttpHeaders headers) {
    return BodyFraming.declaredLength(headers).isPresent()
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  private static boolean hasValue(HttpHeaders headers, CharSequence name, String expected) {
    @Nullable CharSequence value = headers.get(name);
    return value != null && expected.contentEquals(value);
  }

  @Override
  public void prepareResponse(
      HttpResponseMetaData upstream,
      StreamingHttpResponse response,
      RequestId requestId,
      int attempts) {
    MessageHeads.copy(upstream.headers(), response.headers(), HeaderNames::isForwardedToCaller);
    HeaderNames.setExecutionHeaders(response, ExecutionStatus.RUN, requestId, attempts);
  }

  @Override
  public boolean buffersShortResponses() {
    return false;
  }
}
