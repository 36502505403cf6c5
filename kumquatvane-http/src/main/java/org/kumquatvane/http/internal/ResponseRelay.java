package org.kumquatvane.http.internal;

import static io.servicetalk.concurrent.api.Publisher.failed;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.TerminalSignalConsumer;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.operations.RecordedHeader;
import org.kumquatvane.operations.RecordedResponse;

/**
 * Forwards the body of a response to the caller, checks that it is complete and optionally records
 * it.
 *
 * <p>The body is read exactly once: by the caller's connection, or by this class if the caller
 * disconnected before it subscribed.
 */
final class ResponseRelay {
  /** Maximum size of a response that is recorded for retries of an operation. */
  private static final int MAXIMUM_CAPTURED_BYTES = 16 * 1024;

  private final StreamingHttpResponse upstream;
  private final ResponseBody content;
  private final OptionalLong declaredLength;
  private final boolean capture;
  private final DeliveryListener listener;
  private final Runnable onConnectionReusable;
  private final Runnable onConnectionUnusable;
  private final AtomicBoolean subscribed = new AtomicBoolean();
  private final AtomicBoolean settled = new AtomicBoolean();
  private final ByteArrayOutputStream captured = new ByteArrayOutputStream();
  private long receivedBytes;

  /**
   * Creates a relay.
   *
   * @param upstream response of the backend server
   * @param content body of the response
   * @param declaredLength declared length of the body, if any
   * @param capture whether to record the response if it is short
   * @param listener receives the outcome of the delivery
   * @param onConnectionReusable called when the connection can be used again
   * @param onConnectionUnusable called when the connection must be closed
   */
  ResponseRelay(
      StreamingHttpResponse upstream,
      ResponseBody content,
      OptionalLong declaredLength,
      boolean capture,
      DeliveryListener listener,
      Runnable onConnectionReusable,
      Runnable onConnectionUnusable) {
    this.upstream = upstream;
    this.content = content;
    this.declaredLength = declaredLength;
    this.capture = capture;
    this.listener = listener;
    this.onConnectionReusable = onConnectionReusable;
    this.onConnectionUnusable = onConnectionUnusable;
  }

  Publisher<Buffer> subscribeOnce() {
    return subscribed.compareAndSet(false, true)
        ? body()
        : failed(new IOException("response body was already read"));
  }

  void drainUnlessSubscribed() {
    if (subscribed.compareAndSet(false, true)) {
      body().ignoreElements().onErrorComplete().subscribe();
    }
  }

  private Publisher<Buffer> body() {
    return content
        .bytes()
        .beforeOnNext(this::onChunk)
        .concat(Completable.defer(this::checkLength))
        .beforeFinally(
            new TerminalSignalConsumer() {
              @Override
              public void onComplete() {
                settle(
                    () -> {
                      onConnectionReusable.run();
                      listener.onCompleted(recordedResponse());
                    });
              }

              @Override
              public void onError(Throwable failure) {
                settle(
                    () -> {
                      onConnectionUnusable.run();
                      listener.onTruncated();
                    });
              }

              @Override
              public void cancel() {
                settle(ResponseRelay.this::handleCallerDisconnect);
              }
            });
  }

  /**
   * Records a buffered response of an operation for later retries even if the caller disconnected
   * during delivery.
   */
  private void handleCallerDisconnect() {
    if (capture && content instanceof ResponseBody.Buffered buffered) {
      captured.reset();
      captured.writeBytes(buffered.content());
      receivedBytes = buffered.content().length;
      onConnectionReusable.run();
      listener.onCompleted(recordedResponse());
      return;
    }
    onConnectionUnusable.run();
    listener.onCallerDisconnected();
  }

  private void settle(Runnable end) {
    if (settled.compareAndSet(false, true)) {
      end.run();
    }
  }

  private void onChunk(Buffer chunk) {
    int length = chunk.readableBytes();
    receivedBytes += length;
    if (capture && receivedBytes <= MAXIMUM_CAPTURED_BYTES) {
      byte[] bytes = new byte[length];
      chunk.getBytes(chunk.readerIndex(), bytes);
      captured.writeBytes(bytes);
    }
  }

  private Completable checkLength() {
    boolean isComplete = declaredLength.isEmpty() || declaredLength.getAsLong() == receivedBytes;
    return isComplete
        ? Completable.completed()
        : Completable.failed(
            new IOException(
                "response body has "
                    + receivedBytes
                    + " of "
                    + declaredLength.getAsLong()
                    + " bytes"));
  }

  private Optional<RecordedResponse> recordedResponse() {
    if (!capture || receivedBytes > MAXIMUM_CAPTURED_BYTES) {
      return Optional.empty();
    }
    List<RecordedHeader> headers = new ArrayList<>();
    for (Map.Entry<CharSequence, CharSequence> field : upstream.headers()) {
      if (HeaderNames.isForwardedToCaller(field.getKey())) {
        headers.add(new RecordedHeader(field.getKey().toString(), field.getValue().toString()));
      }
    }
    return Optional.of(
        new RecordedResponse(upstream.status().code(), headers, captured.toByteArray()));
  }
}
