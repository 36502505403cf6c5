package org.kumquatvane.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Locale;
import org.kumquatvane.selection.InstancePool;
import org.kumquatvane.selection.InstanceStatus;

/** Reports all instances and their eligibility. */
public final class InstancesReport implements AdminReport {
  private final InstancePool instances;

  /**
   * Creates the report.
   *
   * @param instances the instance pool
   */
  public InstancesReport(InstancePool instances) {
    this.instances = instances;
  }

  @Override
  public void write(JsonGenerator json) throws IOException {
    json.writeStartObject();
    ReportWriter.writeObjects(
        json, "instances", instances.status(), InstancesReport::writeInstance);
    json.writeEndObject();
  }

  private static void writeInstance(JsonGenerator json, InstanceStatus status) throws IOException {
    json.writeStringField("service", status.instance().service().value());
    json.writeStringField("instance", status.instance().id().value());
    json.writeStringField("endpoint", status.instance().endpoint().toString());
    json.writeStringField("failureDomain", status.instance().failureDomain().value());
    json.writeNumberField("slotsInUse", status.slotsInUse());
    json.writeBooleanField("leaving", status.leaving());
    json.writeStringField("state", state(status));
  }

  private static String state(InstanceStatus status) {
    return status.leaving() ? "leaving" : status.eligibility().name().toLowerCase(Locale.ROOT);
  }
}
