package org.kumquatvane.http.internal;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpRequest;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.kumquatvane.core.Reason;
import org.kumquatvane.core.Sha256;
import org.kumquatvane.document.IdempotencyKeyRule;
import org.kumquatvane.document.Route;
import org.kumquatvane.engine.BodyDescription;
import org.kumquatvane.engine.Refusal;
import org.kumquatvane.http.MessageSizeLimits;

/**
 * Buffers or streams a request body (docs/design.md, chapter 6.2): a body with a declared length of
 * at most {@code bufferedBodyBytes} is buffered, other bodies are streamed and can be sent only
 * once.
 */
final class BodyReader {
  private static final String EMPTY_DIGEST = Sha256.hex(new byte[0]);

  private final MessageSizeLimits limits;
  private final BufferBudget budget;

  BodyReader(MessageSizeLimits limits, BufferBudget budget) {
    this.limits = limits;
    this.budget = budget;
  }

  static BodyResult noBody() {
    BodyDescription empty = new BodyDescription(true, EMPTY_DIGEST);
    return new BodyResult.Ready(new CallerBody(empty, 0, 0, Publisher.empty()));
  }

  Single<BodyResult> read(StreamingHttpRequest request, Route route, BufferAllocator allocator) {
    OptionalLong declared = BodyFraming.declaredLength(request.headers());
    if (declared.orElse(0) > route.maximumBodyBytes()) {
      return Single.succeeded(tooLarge(route.maximumBodyBytes()));
    }
    boolean mustBuffer =
        route.idempotencyKey() != IdempotencyKeyRule.IGNORED
            || (limits.bufferUndeclaredLength() && declared.isEmpty());
    long bufferLimit = Math.min(route.maximumBodyBytes(), limits.bufferedBodyBytes());
    if (declared.isPresent() ? declared.getAsLong() <= bufferLimit : mustBuffer) {
      return buffer(request, declared.orElse(bufferLimit), allocator);
    }
    return Single.succeeded(
        mustBuffer ? tooLarge(bufferLimit) : stream(request, declared, route.maximumBodyBytes()));
  }

  private Single<BodyResult> buffer(
      StreamingHttpRequest request, long maximumBytes, BufferAllocator allocator) {
    if (!budget.reserve(maximumBytes)) {
      return Single.succeeded(
          new BodyResult.Refused(
              Refusal.of(
                  Reason.OVERLOADED, "the memory for buffered request bodies is exhausted")));
    }
    AtomicLong received = new AtomicLong();
    boolean isDeclared = BodyFraming.declaredLength(request.headers()).isPresent();
    return request
        .payloadBody()
        .takeWhile(chunk -> received.addAndGet(chunk.readableBytes()) <= maximumBytes)
        .collect(() -> new Collector(isDeclared ? (int) maximumBytes : 0), Collector::append)
        .map(
            collector ->
                received.get() > maximumBytes
                    ? releaseAndRefuse(maximumBytes)
                    : ready(collector.toBytes(), maximumBytes, allocator))
        .beforeOnError(failure -> budget.release(maximumBytes))
        .beforeCancel(() -> budget.release(maximumBytes));
  }

  private BodyResult releaseAndRefuse(long maximumBytes) {
    budget.release(maximumBytes);
    return tooLarge(maximumBytes);
  }

  private static BodyResult ready(byte[] bytes, long reservedBytes, BufferAllocator allocator) {
    return new BodyResult.Ready(
        new CallerBody(
            new BodyDescription(true, Sha256.hex(bytes)),
            bytes.length,
            reservedBytes,
            Publisher.defer(() -> Publisher.from(allocator.wrap(bytes)))));
  }

  /**
   * Collects a body. The array of a body with a declared length is the one that is sent: a copy
   * beside it would double the memory that the budget counts.
   */
  private static final class Collector {
    private byte[] bytes;
    private int length;

    private Collector(int declaredLength) {
      bytes = new byte[declaredLength];
    }

    private Collector append(Buffer chunk) {
      int added = chunk.readableBytes();
      if (length + added > bytes.length) {
        bytes = Arrays.copyOf(bytes, Math.max(length + added, 2 * bytes.length));
      }
      chunk.readBytes(bytes, length, added);
      length += added;
      return this;
    }

    private byte[] toBytes() {
      return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }
  }

  private static BodyResult stream(
      StreamingHttpRequest request, OptionalLong declared, long maximumBytes) {
    AtomicLong received = new AtomicLong();
    Publisher<Buffer> counted =
        request
            .payloadBody()
            .liftSync(new DrainAfterCancel())
            .beforeOnNext(
                chunk -> {
                  if (received.addAndGet(chunk.readableBytes()) > maximumBytes) {
                    // Fails the attempt; the backend server receives a truncated body.
                    throw new IllegalStateException(
                        "request body exceeds " + maximumBytes + " bytes");
                  }
                });
    return new BodyResult.Ready(
        new CallerBody(new BodyDescription(false, ""), declared.orElse(-1), 0, counted));
  }

  private static BodyResult tooLarge(long maximumBytes) {
    return new BodyResult.Refused(
        Refusal.of(Reason.BODY_TOO_LARGE, "the body exceeds " + maximumBytes + " bytes"));
  }
}
