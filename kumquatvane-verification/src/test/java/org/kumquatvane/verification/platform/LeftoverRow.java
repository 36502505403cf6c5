package org.kumquatvane.verification.platform;

/**
 * One case of an instance that sends bytes which belong to no request.
 *
 * @param leftover the bytes
 * @param timing when they are sent
 * @param framing the response before them
 * @param next the response after them
 * @param method method of the request of that response
 */
record LeftoverRow(
    Leftover leftover,
    LeftoverTiming timing,
    ResponseFraming framing,
    NextResponse next,
    String method) {

  /** The response of the instance to the next request. */
  enum NextResponse {
    INTERNAL_ERROR(500, "Internal Server Error"),
    GATEWAY_TIMEOUT(504, "Gateway Timeout"),
    /** Does not state that the request has not run, so a VM does not pass this status on. */
    UNAVAILABLE(503, "Service Unavailable"),
    SUCCESS(200, "OK");

    private final int status;
    private final String reason;

    NextResponse(int status, String reason) {
      this.status = status;
      this.reason = reason;
    }

    InstanceResponse response(String id) {
      return new InstanceResponse(status, reason, id, "", "other body of " + id);
    }
  }

  /** The usual row: an unsafe request fails after a short success. */
  static LeftoverRow ofFailure(Leftover leftover, LeftoverTiming timing) {
    return new LeftoverRow(
        leftover, timing, ResponseFraming.CONTENT_LENGTH, NextResponse.INTERNAL_ERROR, "POST");
  }

  @Override
  public String toString() {
    return String.join(
        ", ", leftover.name(), timing.name(), "after " + framing, "before " + next, method);
  }
}
