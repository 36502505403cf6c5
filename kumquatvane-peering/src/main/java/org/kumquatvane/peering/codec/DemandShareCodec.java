package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.DemandReport;
import org.kumquatvane.limits.DemandShare;

/** Codec of {@link DemandShare}. */
public final class DemandShareCodec implements MessageCodec<DemandShare> {
  private static final int SHARES = 1;
  private static final int WORKSPACE = 1;
  private static final int FRACTION = 2;
  private static final int FLEET_RATE = 3;
  private static final int GENERATION = 4;

  @Override
  public int type() {
    return 55;
  }

  @Override
  public Class<DemandShare> messageClass() {
    return DemandShare.class;
  }

  @Override
  public void write(DemandShare message, FieldWriter fields) throws IOException {
    fields.writeList(SHARES, message.shares(), DemandShareCodec::writeShare);
  }

  private static void writeShare(DemandShare.Share share, FieldWriter fields) throws IOException {
    fields.writeString(WORKSPACE, share.workspace().value());
    fields.writeDouble(FRACTION, share.fraction());
    fields.writeDouble(FLEET_RATE, share.fleetRate());
    fields.writeLong(GENERATION, share.generation());
  }

  @Override
  public DemandShare read(FieldReader fields) throws IOException {
    List<DemandShare.Share> shares = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case SHARES -> shares = fields.readList(DemandShareCodec::readShare);
        default -> fields.skipValue();
      }
    }
    return new DemandShare(shares);
  }

  private static DemandShare.Share readShare(FieldReader fields) throws IOException {
    String workspace = "";
    double fraction = 0;
    double fleetRate = 0;
    long generation = DemandReport.NO_GENERATION;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case WORKSPACE -> workspace = fields.readString();
        case FRACTION -> fraction = fields.readDouble();
        case FLEET_RATE -> fleetRate = fields.readDouble();
        case GENERATION -> generation = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new DemandShare.Share(new WorkspaceId(workspace), fraction, fleetRate, generation);
  }
}
