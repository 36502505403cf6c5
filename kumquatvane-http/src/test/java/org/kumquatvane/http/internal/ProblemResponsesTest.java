package org.kumquatvane.http.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.H2HeadersFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.engine.Refusal;

class ProblemResponsesTest {
  private static final RequestId REQUEST = new RequestId("request-1");

  /**
   * Guards against upper-case header names, which HTTP/2 rejects and which left the caller without
   * a response.
   */
  @ParameterizedTest
  @EnumSource(value = Reason.class, mode = EnumSource.Mode.MATCH_NONE, names = "RETRY_.*")
  void writesEveryRefusalOverHttp2(Reason reason) {
    StreamingHttpResponse response =
        ProblemResponses.write(
            new DefaultStreamingHttpRequestResponseFactory(
                BufferAllocators.DEFAULT_ALLOCATOR,
                H2HeadersFactory.INSTANCE,
                HttpProtocolVersion.HTTP_2_0),
            BufferAllocators.DEFAULT_ALLOCATOR,
            REQUEST,
            Refusal.of(reason, "detail").withRetryAfter(Duration.ofMillis(1_500)));

    assertEquals(reason.httpStatus(), response.status().code());
    assertEquals(reason.code(), response.headers().get(HeaderNames.REASON));
    assertEquals(reason.execution().token(), response.headers().get(HeaderNames.EXECUTION));
    assertEquals("2", response.headers().get("retry-after"));
    assertTrue(
        response.headers().names().stream()
            .allMatch(name -> name.toString().equals(HeaderNames.lowerCase(name))));
  }

  /** Guards against a body that is not valid JSON or lacks a member. */
  @Test
  void writesProblemDocument() {
    Refusal refusal = Refusal.of(Reason.RATE_LIMITED, "quote \" backslash \\ line\nbreak");

    String body = ProblemResponses.body(REQUEST, refusal);

    Approvals.verify(body.getBytes(StandardCharsets.UTF_8).length + " bytes\n" + body);
  }
}
