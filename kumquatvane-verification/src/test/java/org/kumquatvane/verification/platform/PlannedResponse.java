package org.kumquatvane.verification.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * A response of a {@link RepeatingInstance}.
 *
 * @param requestId id of the request
 * @param status status code
 * @param notExecuted whether the response states that the request has not run
 * @param signature value of X-Response-Signature
 * @param framing how the end of the body is marked
 * @param body bytes of the body
 */
@SuppressWarnings("ArrayRecordComponent") // Responses are not compared.
record PlannedResponse(
    String requestId,
    int status,
    boolean notExecuted,
    String signature,
    Framing framing,
    byte[] body) {

  /** How the end of a body is marked. */
  enum Framing {
    LENGTH {
      @Override
      String fields(int length) {
        return "Content-Length: " + length + "\r\n";
      }

      @Override
      byte[] encode(byte[] body) {
        return body;
      }
    },
    CHUNKED {
      private static final int CHUNK_BYTES = 3_000;

      @Override
      String fields(int length) {
        return "Transfer-Encoding: chunked\r\n";
      }

      @Override
      byte[] encode(byte[] body) {
        ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        for (int at = 0; at < body.length; at += CHUNK_BYTES) {
          int count = Math.min(CHUNK_BYTES, body.length - at);
          encoded.writeBytes(latin1(Integer.toHexString(count) + "\r\n"));
          encoded.write(body, at, count);
          encoded.writeBytes(latin1("\r\n"));
        }
        encoded.writeBytes(latin1("0\r\n\r\n"));
        return encoded.toByteArray();
      }
    },
    UNTIL_CLOSE {
      @Override
      String fields(int length) {
        return "";
      }

      @Override
      byte[] encode(byte[] body) {
        return body;
      }
    };

    abstract String fields(int length);

    abstract byte[] encode(byte[] body);
  }

  byte[] head() {
    return latin1(
        "HTTP/1.1 "
            + status
            + " Status\r\nContent-Type: application/octet-stream\r\nX-Request-Id: "
            + requestId
            + "\r\nX-Response-Signature: "
            + signature
            + "\r\n"
            + (notExecuted ? "X-Not-Executed: 1\r\n" : "")
            + framing.fields(body.length)
            + "\r\n");
  }

  byte[] encodedBody() {
    return framing.encode(body);
  }

  private static byte[] latin1(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  @Override
  public String toString() {
    return status
        + (notExecuted ? " not executed " : " ")
        + signature
        + " "
        + framing
        + " "
        + body.length;
  }
}
