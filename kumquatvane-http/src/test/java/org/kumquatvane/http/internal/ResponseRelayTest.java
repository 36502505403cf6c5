package org.kumquatvane.http.internal;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.operations.RecordedResponse;

/** Guards against losing the recorded response of an operation. */
class ResponseRelayTest {
  private static final byte[] BODY = "done".getBytes(StandardCharsets.UTF_8);

  private final List<String> ends = new ArrayList<>();
  private final List<RecordedResponse> recorded = new ArrayList<>();

  private final class RecordingListener implements DeliveryListener {
    @Override
    public void onHeadDelivered(int status) {}

    @Override
    public void onCompleted(Optional<RecordedResponse> captured) {
      ends.add("completed");
      captured.ifPresent(recorded::add);
    }

    @Override
    public void onTruncated() {
      ends.add("truncated");
    }

    @Override
    public void onCallerDisconnected() {
      ends.add("disconnected");
    }
  }

  private static StreamingHttpResponse response() {
    return new DefaultStreamingHttpRequestResponseFactory(
            BufferAllocators.DEFAULT_ALLOCATOR,
            DefaultHttpHeadersFactory.INSTANCE,
            HttpProtocolVersion.HTTP_1_1)
        .ok();
  }

  private static CollectedBody collectedBody() {
    CollectedBody body =
        new CollectedBody(
            new BufferReservation(new BufferBudget(BODY.length)), OptionalLong.of(BODY.length));
    body.append(BufferAllocators.DEFAULT_ALLOCATOR.wrap(BODY));
    return body;
  }

  /**
   * The caller disconnects while the response is being delivered. If the response is not recorded
   * then, a retry of the completed operation fails with answer_not_kept; this occurred under load.
   */
  @ParameterizedTest
  @CsvSource({
    "true, true, completed, 1",
    "true, false, disconnected, 0",
    "false, true, disconnected, 0"
  })
  void recordsBufferedOperationResponseWhenCallerDisconnects(
      boolean buffered, boolean capture, String expectedEnd, int expectedRecordings) {
    ResponseBody body =
        buffered
            ? new ResponseBody.Buffered(collectedBody(), BufferAllocators.DEFAULT_ALLOCATOR)
            : new ResponseBody.Streamed(Publisher.never());
    ResponseRelay relay =
        new ResponseRelay(
            response(),
            body,
            OptionalLong.of(BODY.length),
            capture,
            new RecordingListener(),
            () -> {},
            () -> {});
    toSource(relay.subscribeOnce())
        .subscribe(
            new PublisherSource.Subscriber<Buffer>() {
              @Override
              public void onSubscribe(PublisherSource.Subscription subscription) {
                subscription.cancel();
              }

              @Override
              public void onNext(Buffer buffer) {}

              @Override
              public void onError(Throwable failure) {}

              @Override
              public void onComplete() {}
            });
    assertEquals(List.of(expectedEnd), ends);
    assertEquals(expectedRecordings, recorded.size());
    recorded.forEach(response -> assertArrayEquals(BODY, response.body()));
  }
}
