package org.kumquatvane.verification.platform;

/**
 * A response of which an instance sends only the beginning before the connection ends.
 *
 * @param answer status and framing of the response
 * @param method method of the request
 * @param length number of bytes that the instance sends
 * @param ending how the connection ends
 * @param onKeptConnection whether the instance's connection has carried a request before
 */
record CutResponse(
    Answer answer, String method, int length, Ending ending, boolean onKeptConnection) {
  /** Length of a request id, so that all responses of an answer have the same length. */
  private static final int ID_LENGTH = 36;

  private static final String SAMPLE_ID = "-".repeat(ID_LENGTH);

  /** How a connection ends. */
  enum Ending {
    FIN_AT_ONCE(false, 0),
    FIN_LATER(false, 30),
    RESET_AT_ONCE(true, 0),
    RESET_LATER(true, 30);

    final boolean isReset;
    final long delayMillis;

    Ending(boolean isReset, long delayMillis) {
      this.isReset = isReset;
      this.delayMillis = delayMillis;
    }
  }

  /** How the head describes the body. */
  enum Framing {
    CONTENT_LENGTH {
      @Override
      String fields(String body) {
        return "Content-Length: " + body.length() + "\r\n";
      }

      @Override
      String encode(String body) {
        return body;
      }
    },
    EMPTY {
      @Override
      String fields(String body) {
        return "Content-Length: 0\r\n";
      }

      @Override
      String encode(String body) {
        return "";
      }
    },
    CHUNKED {
      @Override
      String fields(String body) {
        return "Transfer-Encoding: chunked\r\n";
      }

      @Override
      String encode(String body) {
        return chunks(body) + "0\r\n\r\n";
      }
    },
    CHUNKED_WITH_TRAILERS {
      @Override
      String fields(String body) {
        return "Transfer-Encoding: chunked\r\nTrailer: X-Sum, X-End\r\n";
      }

      @Override
      String encode(String body) {
        return chunks(body) + "0\r\nX-Sum: 12\r\nX-End: 1\r\n\r\n";
      }
    },
    UNTIL_CLOSE {
      @Override
      String fields(String body) {
        return "Connection: close\r\n";
      }

      @Override
      String encode(String body) {
        return body;
      }
    };

    private static final int MAXIMUM_CHUNK_BYTES = 8_192;
    private static final int MINIMUM_CHUNKS = 3;

    abstract String fields(String body);

    abstract String encode(String body);

    private static String chunks(String body) {
      int size = Math.min(MAXIMUM_CHUNK_BYTES, body.length() / MINIMUM_CHUNKS);
      StringBuilder chunks = new StringBuilder();
      for (int start = 0; start < body.length(); start += size) {
        String chunk = body.substring(start, Math.min(body.length(), start + size));
        chunks.append(Integer.toHexString(chunk.length())).append("\r\n");
        chunks.append(chunk).append("\r\n");
      }
      return chunks.toString();
    }
  }

  /**
   * Status and framing of a response.
   *
   * @param status status
   * @param isNotRun whether the head states that the instance has not run the request
   * @param framing framing
   * @param fill bytes of the body beside the request id
   */
  record Answer(int status, boolean isNotRun, Framing framing, int fill) {
    boolean isSuccess() {
      return status >= 200 && status < 300;
    }

    String body(String requestId) {
      return framing == Framing.EMPTY ? "" : requestId + "x".repeat(fill);
    }

    private String head(String requestId) {
      return "HTTP/1.1 "
          + status
          + " Status\r\nX-Request-Id: "
          + requestId
          + "\r\n"
          + (isNotRun ? "X-Not-Executed: 1\r\n" : "X-Response-Signature: s\r\n")
          + framing.fields(body(requestId))
          + "\r\n";
    }

    private boolean hasBody(String method) {
      return !method.equals("HEAD") && status != 204 && status != 304;
    }

    String bytes(String method, String requestId) {
      return head(requestId) + (hasBody(method) ? framing.encode(body(requestId)) : "");
    }

    int headLength() {
      return head(SAMPLE_ID).length();
    }

    int length(String method) {
      return bytes(method, SAMPLE_ID).length();
    }
  }

  String sentBytes(String requestId) {
    return answer.bytes(method, requestId).substring(0, length);
  }

  boolean hasWholeHead() {
    return length >= answer.headLength();
  }

  /** Returns whether the protocol lets a receiver take what is sent for a complete response. */
  boolean isComplete() {
    if (!hasWholeHead()) {
      return false;
    }
    if (answer.framing == Framing.UNTIL_CLOSE && answer.hasBody(method)) {
      return !ending.isReset;
    }
    return length == answer.length(method);
  }

  /** Returns the body that a receiver of a complete response gets. */
  String completeBody(String requestId) {
    if (!answer.hasBody(method)) {
      return "";
    }
    String whole = answer.body(requestId);
    return answer.framing == Framing.UNTIL_CLOSE
        ? whole.substring(0, length - answer.headLength())
        : whole;
  }
}
