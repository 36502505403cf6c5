package org.kumquatvane.http.internal;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;

/** Body of a backend server's response, to be forwarded to the caller. */
sealed interface ResponseBody {
  /** Returns the bytes; can be subscribed to once. */
  Publisher<Buffer> bytes();

  /** A body that is still being received. */
  record Streamed(Publisher<Buffer> bytes) implements ResponseBody {}

  /** A body that was read completely. */
  final class Buffered implements ResponseBody {
    private final CollectedBody body;
    private final BufferAllocator allocator;

    Buffered(CollectedBody body, BufferAllocator allocator) {
      this.body = body;
      this.allocator = allocator;
    }

    byte[] content() {
      return body.toBytes();
    }

    @Override
    public Publisher<Buffer> bytes() {
      return body.publish(allocator);
    }
  }
}
