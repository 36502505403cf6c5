package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.ReachabilityReport;

/** Codec of {@link ReachabilityReport}. */
public final class ReachabilityReportCodec implements MessageCodec<ReachabilityReport> {
  private static final int SEQUENCE = 1;
  private static final int UNREACHABLE = 2;

  @Override
  public int type() {
    return 3;
  }

  @Override
  public Class<ReachabilityReport> messageClass() {
    return ReachabilityReport.class;
  }

  @Override
  public void write(ReachabilityReport message, FieldWriter fields) throws IOException {
    fields.writeLong(SEQUENCE, message.sequence());
    fields.writeStrings(
        UNREACHABLE, message.unreachable().stream().map(VmId::value).sorted().toList());
  }

  @Override
  public ReachabilityReport read(FieldReader fields) throws IOException {
    long sequence = 0;
    List<String> unreachable = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case SEQUENCE -> sequence = fields.readLong();
        case UNREACHABLE -> unreachable = fields.readStrings();
        default -> fields.skipValue();
      }
    }
    Set<VmId> vms = new HashSet<>();
    unreachable.forEach(name -> vms.add(new VmId(name)));
    return new ReachabilityReport(sequence, vms);
  }
}
