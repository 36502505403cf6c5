package org.kumquatvane.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.engine.AttemptPlan;
import org.kumquatvane.selection.Instance;
import org.kumquatvane.testing.FailingInvariantMonitor;
import org.kumquatvane.testing.SimulatedClock;

/** Guards against a response that is passed on although it names another request. */
class KumquatvaneDialectTest {
  private static final BufferAllocator ALLOCATOR = BufferAllocators.DEFAULT_ALLOCATOR;

  private final HttpDialect dialect =
      new KumquatvaneDialect(
          new SimulatedClock(),
          new MessageSizeLimits(1_000, 1_000, false, 1_000),
          new FailingInvariantMonitor());

  private static AttemptPlan plan() {
    Instance instance =
        new Instance(
            new InstanceId("i-1"),
            new ServiceName("sessions"),
            new SocketEndpoint("127.0.0.1", 8080),
            new FailureDomain("a"),
            false);
    return new AttemptPlan(
        new RequestId("r-1"), instance, new WorkspaceId("alpha"), new Deadline(0), 4, false, false);
  }

  /** The echo is optional, but a head that names two requests is joined from two responses. */
  @ParameterizedTest
  @CsvSource({
    "'', true, false",
    "r-1, true, true",
    "r-2, false, false",
    "r-1 r-2, false, false",
    "r-2 r-1, false, false"
  })
  void responseMayNameOnlyItsRequest(String ids, boolean isUsable, boolean isNamed) {
    StreamingHttpResponse response =
        new DefaultStreamingHttpRequestResponseFactory(
                ALLOCATOR, DefaultHttpHeadersFactory.INSTANCE, HttpProtocolVersion.HTTP_1_1)
            .ok();
    Arrays.stream(ids.split(" ", -1))
        .filter(id -> !id.isEmpty())
        .forEach(id -> response.addHeader("kumquatvane-request-id", id));
    ResponseCheck check = dialect.checkResponse(response, plan(), false);
    assertEquals(isUsable, check instanceof ResponseCheck.Usable);
    assertEquals(isNamed, check instanceof ResponseCheck.Usable usable && usable.namesRequest());
  }
}
