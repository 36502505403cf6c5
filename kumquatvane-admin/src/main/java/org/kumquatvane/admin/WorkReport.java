package org.kumquatvane.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.function.IntSupplier;

/** Reports the requests in flight and the queued tasks of this VM. */
public final class WorkReport implements AdminReport {
  private final IntSupplier inFlight;
  private final IntSupplier queuedTasks;

  /**
   * Creates the report.
   *
   * @param inFlight number of requests in flight
   * @param queuedTasks number of tasks that wait for a worker
   */
  public WorkReport(IntSupplier inFlight, IntSupplier queuedTasks) {
    this.inFlight = inFlight;
    this.queuedTasks = queuedTasks;
  }

  @Override
  public void write(JsonGenerator json) throws IOException {
    json.writeStartObject();
    json.writeNumberField("requestsInFlight", inFlight.getAsInt());
    json.writeNumberField("queuedTasks", queuedTasks.getAsInt());
    json.writeEndObject();
  }
}
