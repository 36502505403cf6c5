package org.kumquatvane.verification.platform;

/** The response after which an instance sends bytes that belong to no request. */
enum ResponseFraming {
  CONTENT_LENGTH,
  EMPTY {
    @Override
    InstanceResponse response(String id) {
      return new InstanceResponse(200, "OK", id, "", "");
    }
  },
  CHUNKED {
    @Override
    String encode(InstanceResponse response) {
      return chunked(response, "");
    }
  },
  CHUNKED_WITH_TRAILERS {
    @Override
    String encode(InstanceResponse response) {
      return chunked(response, "X-Trailer: 1\r\nX-Other-Trailer: 2\r\n");
    }
  },
  NO_CONTENT {
    @Override
    InstanceResponse response(String id) {
      return new InstanceResponse(204, "No Content", id, "", "");
    }

    @Override
    String encode(InstanceResponse response) {
      return response.head("");
    }
  },
  UNTIL_CLOSE {
    @Override
    String encode(InstanceResponse response) {
      return response.head("") + response.body();
    }
  },
  /** Above the size up to which a VM buffers a response. */
  LARGE {
    @Override
    InstanceResponse response(String id) {
      return new InstanceResponse(200, "OK", id, "", ("body of " + id + ";").repeat(8_000));
    }
  },
  FAILURE {
    @Override
    InstanceResponse response(String id) {
      return new InstanceResponse(500, "Internal Server Error", id, "", "failure of " + id);
    }
  },
  /** The request is sent to the instance again, on another connection. */
  REFUSAL {
    @Override
    InstanceResponse response(String id) {
      return new InstanceResponse(503, "Service Unavailable", id, "X-Not-Executed: 1\r\n", "full");
    }
  },
  HEAD_REQUEST {
    @Override
    String encode(InstanceResponse response) {
      return response.head(InstanceResponse.lengthField(response.body()));
    }

    @Override
    String method() {
      return "HEAD";
    }

    @Override
    boolean hasBody() {
      return false;
    }
  };

  InstanceResponse response(String id) {
    return new InstanceResponse(200, "OK", id, "", "first body of " + id);
  }

  String encode(InstanceResponse response) {
    return response.withLength();
  }

  /** Returns the method of the request. */
  String method() {
    return "POST";
  }

  /** Returns whether callers get the body. */
  boolean hasBody() {
    return true;
  }

  private static String chunked(InstanceResponse response, String trailers) {
    String body = response.body();
    return response.head("Transfer-Encoding: chunked\r\n")
        + Integer.toHexString(body.length())
        + "\r\n"
        + body
        + "\r\n0\r\n"
        + trailers
        + "\r\n";
  }
}
