package org.kumquatvane.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.function.Supplier;
import org.kumquatvane.distribution.ItemFeedStatus;

/** Reports how far this VM follows the configuration source. */
public final class SourceReport implements AdminReport {
  private final Supplier<ItemFeedStatus> status;

  /**
   * Creates the report.
   *
   * @param status returns the state now
   */
  public SourceReport(Supplier<ItemFeedStatus> status) {
    this.status = status;
  }

  @Override
  public void write(JsonGenerator json) throws IOException {
    ItemFeedStatus now = status.get();
    json.writeStartObject();
    json.writeBooleanField("hasItems", !now.position().isNone());
    json.writeNumberField("era", now.position().era());
    json.writeNumberField("revision", now.position().revision());
    json.writeNumberField("confirmedAgeMillis", now.ageMillis());
    json.writeBooleanField("lost", now.isLost());
    json.writeNumberField("retainedItems", now.retainedItems());
    json.writeEndObject();
  }
}
