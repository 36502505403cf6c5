package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.limits.DemandReport;

/** Codec of {@link DemandReport}. */
public final class DemandReportCodec implements MessageCodec<DemandReport> {
  private static final int DEMANDS = 1;
  private static final int GENERATION = 2;
  private static final int POSSIBLE_VMS = 3;
  private static final int WORKSPACE = 1;
  private static final int ARRIVED = 2;
  private static final int ADMITTED = 3;
  private static final int REQUESTS_PER_SECOND = 4;
  private static final int BURST_REQUESTS = 5;

  @Override
  public int type() {
    return 54;
  }

  @Override
  public Class<DemandReport> messageClass() {
    return DemandReport.class;
  }

  @Override
  public void write(DemandReport message, FieldWriter fields) throws IOException {
    fields.writeLong(GENERATION, message.generation());
    fields.writeLong(POSSIBLE_VMS, message.possibleVms());
    fields.writeList(DEMANDS, message.demands(), DemandReportCodec::writeDemand);
  }

  private static void writeDemand(DemandReport.Demand demand, FieldWriter fields)
      throws IOException {
    fields.writeString(WORKSPACE, demand.workspace().value());
    fields.writeLong(ARRIVED, demand.arrived());
    fields.writeLong(ADMITTED, demand.admitted());
    if (demand.limit().isPresent()) {
      fields.writeDouble(REQUESTS_PER_SECOND, demand.limit().get().requestsPerSecond());
      fields.writeDouble(BURST_REQUESTS, demand.limit().get().burstRequests());
    }
  }

  @Override
  public DemandReport read(FieldReader fields) throws IOException {
    long generation = DemandReport.NO_GENERATION;
    int possibleVms = 0;
    List<DemandReport.Demand> demands = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case GENERATION -> generation = fields.readLong();
        case POSSIBLE_VMS -> possibleVms = fields.readInt();
        case DEMANDS -> demands = fields.readList(DemandReportCodec::readDemand);
        default -> fields.skipValue();
      }
    }
    return new DemandReport(generation, possibleVms, demands);
  }

  private static DemandReport.Demand readDemand(FieldReader fields) throws IOException {
    String workspace = "";
    long arrived = 0;
    long admitted = 0;
    double requestsPerSecond = 0;
    double burstRequests = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case WORKSPACE -> workspace = fields.readString();
        case ARRIVED -> arrived = fields.readLong();
        case ADMITTED -> admitted = fields.readLong();
        case REQUESTS_PER_SECOND -> requestsPerSecond = fields.readDouble();
        case BURST_REQUESTS -> burstRequests = fields.readDouble();
        default -> fields.skipValue();
      }
    }
    return new DemandReport.Demand(
        new WorkspaceId(workspace),
        arrived,
        admitted,
        requestsPerSecond > 0 && burstRequests >= 1
            ? Optional.of(new RateLimit(requestsPerSecond, burstRequests))
            : Optional.empty());
  }
}
