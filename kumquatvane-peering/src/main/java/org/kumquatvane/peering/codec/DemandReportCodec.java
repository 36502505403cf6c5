package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.DemandReport;

/** Codec of {@link DemandReport}. */
public final class DemandReportCodec implements MessageCodec<DemandReport> {
  private static final int DEMANDS = 1;
  private static final int WORKSPACE = 1;
  private static final int ARRIVED = 2;
  private static final int ADMITTED = 3;

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
    fields.writeList(DEMANDS, message.demands(), DemandReportCodec::writeDemand);
  }

  private static void writeDemand(DemandReport.Demand demand, FieldWriter fields)
      throws IOException {
    fields.writeString(WORKSPACE, demand.workspace().value());
    fields.writeLong(ARRIVED, demand.arrived());
    fields.writeLong(ADMITTED, demand.admitted());
  }

  @Override
  public DemandReport read(FieldReader fields) throws IOException {
    List<DemandReport.Demand> demands = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case DEMANDS -> demands = fields.readList(DemandReportCodec::readDemand);
        default -> fields.skipValue();
      }
    }
    return new DemandReport(demands);
  }

  private static DemandReport.Demand readDemand(FieldReader fields) throws IOException {
    String workspace = "";
    long arrived = 0;
    long admitted = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case WORKSPACE -> workspace = fields.readString();
        case ARRIVED -> arrived = fields.readLong();
        case ADMITTED -> admitted = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new DemandReport.Demand(new WorkspaceId(workspace), arrived, admitted);
  }
}
