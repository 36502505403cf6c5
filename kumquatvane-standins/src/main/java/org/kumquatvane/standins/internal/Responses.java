package org.kumquatvane.standins.internal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Creates responses of the stand-ins. */
public final class Responses {
  private static final BufferAllocator ALLOCATOR = BufferAllocators.PREFER_HEAP_ALLOCATOR;
  private static final JsonFactory JSON = new JsonFactory();

  private Responses() {}

  /** Writes one JSON text. */
  @FunctionalInterface
  public interface JsonContent {
    /**
     * Writes the text.
     *
     * @param json receives the tokens
     * @throws IOException never for output to memory
     */
    void writeTo(JsonGenerator json) throws IOException;
  }

  /**
   * Renders JSON.
   *
   * @param content writes the text
   * @return UTF-8 bytes
   */
  public static byte[] renderJson(JsonContent content) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      content.writeTo(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Creates a response with the matching {@code Content-Length}.
   *
   * @param responses creates the response head
   * @param status status code
   * @param body bytes of the body
   * @return the response
   */
  public static StreamingHttpResponse withBody(
      StreamingHttpResponseFactory responses, int status, byte[] body) {
    StreamingHttpResponse response =
        responses.newResponse(
            HttpResponseStatus.of(status, status == 200 ? "OK" : "Status" + status));
    response.setHeader("content-length", Integer.toString(body.length));
    return body.length == 0 ? response : response.payloadBody(Publisher.from(ALLOCATOR.wrap(body)));
  }

  /**
   * Creates a text response.
   *
   * @param responses creates the response head
   * @param status status code
   * @param text text of the body
   * @return the response
   */
  public static StreamingHttpResponse withText(
      StreamingHttpResponseFactory responses, int status, String text) {
    return withBody(responses, status, (text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Wraps bytes.
   *
   * @param body the bytes
   * @param length number of bytes from the start
   * @return a buffer
   */
  public static Buffer wrap(byte[] body, int length) {
    return ALLOCATOR.wrap(body, 0, length);
  }
}
