package org.kumquatvane.http.internal;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.time.Duration;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.engine.Refusal;

/** Writes refusals as responses of type application/problem+json (RFC 9457). */
public final class ProblemResponses {
  private static final String TYPE_PREFIX = "urn:kumquatvane:reason:";
  private static final long MILLIS_PER_SECOND = 1000;

  private ProblemResponses() {}

  /**
   * Creates the response for a refusal.
   *
   * @param factory creates the response
   * @param allocator allocates its body
   * @param requestId ID of the refused request
   * @param refusal the refusal
   * @return the response
   */
  public static StreamingHttpResponse write(
      StreamingHttpResponseFactory factory,
      BufferAllocator allocator,
      RequestId requestId,
      Refusal refusal) {
    Buffer body = allocator.fromUtf8(body(requestId, refusal));
    HttpResponseStatus status = HttpResponseStatus.of(refusal.reason().httpStatus(), "");
    StreamingHttpResponse response =
        factory
            .newResponse(status)
            .setHeader(HttpHeaderNames.CONTENT_TYPE, "application/problem+json")
            .setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()))
            .setHeader(HeaderNames.EXECUTION, refusal.execution().token())
            .setHeader(HeaderNames.REASON, refusal.reason().code())
            .setHeader(HeaderNames.REQUEST_ID, requestId.value());
    refusal
        .retryAfter()
        .ifPresent(
            time ->
                response.setHeader(
                    HttpHeaderNames.RETRY_AFTER, Long.toString(toWholeSeconds(time))));
    return response.payloadBody(Publisher.from(body));
  }

  private static long toWholeSeconds(Duration time) {
    return Math.max(1, (time.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
  }

  /**
   * Returns the problem document.
   *
   * @param requestId ID of the refused request
   * @param refusal the refusal
   * @return JSON text
   */
  static String body(RequestId requestId, Refusal refusal) {
    StringBuilder json = new StringBuilder("{");
    appendMember(json, "type", TYPE_PREFIX + refusal.reason().code()).append(',');
    appendMember(json, "title", refusal.reason().code().replace('_', ' ')).append(',');
    json.append("\"status\":").append(refusal.reason().httpStatus()).append(',');
    appendMember(json, "detail", refusal.detail()).append(',');
    appendMember(json, "code", refusal.reason().code()).append(',');
    appendMember(json, "execution", refusal.execution().token()).append(',');
    appendMember(json, "remedy", refusal.reason().remedy()).append(',');
    return appendMember(json, "requestId", requestId.value()).append("}\n").toString();
  }

  private static StringBuilder appendMember(StringBuilder json, String name, String value) {
    json.append('"').append(name).append("\":\"");
    for (int i = 0; i < value.length(); i++) {
      char character = value.charAt(i);
      if (character == '"' || character == '\\') {
        json.append('\\').append(character);
      } else if (character < ' ') {
        json.append(String.format("\\u%04x", (int) character));
      } else {
        json.append(character);
      }
    }
    return json.append('"');
  }
}
