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
  private static final int SILENT = 2;

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
    fields.integer(SEQUENCE, message.sequence());
    fields.texts(SILENT, message.unreachable().stream().map(VmId::value).sorted().toList());
  }

  @Override
  public ReachabilityReport read(FieldReader fields) throws IOException {
    long sequence = 0;
    List<String> silent = List.of();
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case SEQUENCE -> sequence = fields.integer();
        case SILENT -> silent = fields.texts();
        default -> fields.skip();
      }
    }
    Set<VmId> vms = new HashSet<>();
    silent.forEach(name -> vms.add(new VmId(name)));
    return new ReachabilityReport(sequence, vms);
  }
}
