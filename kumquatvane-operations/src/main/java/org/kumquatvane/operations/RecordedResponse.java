package org.kumquatvane.operations;

import java.util.List;

/** Recorded response of an operation that has run, replayed to repeats. Immutable. */
public final class RecordedResponse {
  private final int status;
  private final List<RecordedHeader> headers;
  private final byte[] body;

  /**
   * Creates a recorded response.
   *
   * @param status HTTP status
   * @param headers header fields to replay
   * @param body the complete body; copied
   */
  public RecordedResponse(int status, List<RecordedHeader> headers, byte[] body) {
    this.status = status;
    this.headers = List.copyOf(headers);
    this.body = body.clone();
  }

  /**
   * Returns the HTTP status.
   *
   * @return a status code
   */
  public int status() {
    return status;
  }

  /**
   * Returns the header fields to replay.
   *
   * @return the fields in order
   */
  public List<RecordedHeader> headers() {
    return headers;
  }

  /**
   * Returns the complete body.
   *
   * @return a copy
   */
  public byte[] body() {
    return body.clone();
  }
}
