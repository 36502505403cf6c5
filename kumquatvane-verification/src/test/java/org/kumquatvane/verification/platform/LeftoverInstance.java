package org.kumquatvane.verification.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Sends the responses of a row and records on which connections the requests arrive. */
final class LeftoverInstance implements RawInstance.Responder {
  private static final String BODY_AFTER_REFUSAL = "body after the refusal";

  /** Ends a response for which a VM would otherwise wait until the deadline. */
  private static final long CLOSE_DELAY_MILLIS = 300;

  private static final int WRITE_LIMIT_SECONDS = 10;
  private static final int DESCRIBED_BYTES = 300;

  private final LeftoverRow row;
  private final InstanceResponse previous;
  private final InstanceResponse next;
  private final String leftover;
  private final CountDownLatch previousWritten = new CountDownLatch(1);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final List<OutputStream> previousArrivals = new CopyOnWriteArrayList<>();
  private final List<OutputStream> nextArrivals = new CopyOnWriteArrayList<>();

  LeftoverInstance(LeftoverRow row, String previousId, String nextId) {
    this.row = row;
    previous = row.framing().response(previousId);
    next = row.next().response(nextId);
    leftover = row.leftover().bytes().of(previous, row.framing().encode(previous), nextId);
  }

  @Override
  public void respond(String id, RawInstance.Output output)
      throws IOException, InterruptedException {
    if (id.equals(previous.requestId())) {
      previousArrivals.add(output);
      respondToPrevious(output);
    } else if (id.equals(next.requestId())) {
      nextArrivals.add(output);
      respondToNext(output);
    } else {
      // Another process still has this address for an instance that has ended.
      RawInstance.write(output, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    }
  }

  private void respondToPrevious(OutputStream output) throws IOException, InterruptedException {
    if (previousArrivals.size() > 1) {
      // Leaves the first connection as the only one for the next request.
      String framing = "Connection: close\r\n" + InstanceResponse.lengthField(BODY_AFTER_REFUSAL);
      RawInstance.write(output, previous().head(framing) + BODY_AFTER_REFUSAL);
      return;
    }
    try {
      row.timing().writePrevious(output, row.framing().encode(previous), leftover);
    } finally {
      // The VM may close the connection before all bytes are written.
      previousWritten.countDown();
    }
    if (row.framing() == ResponseFraming.UNTIL_CLOSE) {
      throw new IOException("end of the response");
    }
  }

  private void respondToNext(OutputStream output) throws IOException, InterruptedException {
    if (!isFirstConnection(output)) {
      RawInstance.write(output, next.withLength());
      return;
    }
    row.timing().writeNext(output, leftover, next.withLength());
    if (!leftover.isEmpty() && !ended.await(CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS)) {
      throw new IOException("end of the connection");
    }
  }

  /** Returns the response to the last arrival of the previous request. */
  InstanceResponse previous() {
    return previousArrivals.size() > 1
        ? new InstanceResponse(200, "OK", previous.requestId(), "", BODY_AFTER_REFUSAL)
        : previous;
  }

  InstanceResponse next() {
    return next;
  }

  /** Returns how often the next request has arrived; the instance refuses none of them. */
  int nextRuns() {
    return nextArrivals.size();
  }

  boolean isConnectionReused() {
    return !nextArrivals.isEmpty() && isFirstConnection(nextArrivals.get(0));
  }

  private boolean isFirstConnection(OutputStream output) {
    return previousArrivals.indexOf(output) == 0;
  }

  /** Waits until the bytes that follow the previous response at once have been written. */
  void awaitPreviousWritten() throws InterruptedException {
    assertTrue(
        previousWritten.await(WRITE_LIMIT_SECONDS, TimeUnit.SECONDS),
        "the previous response was not written");
  }

  /** Ends the wait after the next response. */
  void end() {
    ended.countDown();
  }

  @Override
  public String toString() {
    String bytes =
        leftover.length() > DESCRIBED_BYTES
            ? leftover.substring(0, DESCRIBED_BYTES) + "..."
            : leftover;
    return "leftover \""
        + bytes.replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0")
        + "\", next request on the same connection: "
        + isConnectionReused();
  }
}
