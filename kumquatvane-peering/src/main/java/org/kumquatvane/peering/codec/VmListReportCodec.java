package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import org.kumquatvane.distribution.VmListReport;
import org.kumquatvane.membership.BackendVm;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.membership.VmList;

/** Codec of {@link VmListReport}. */
public final class VmListReportCodec implements MessageCodec<VmListReport> {
  private static final int VERSION = 1;
  private static final int ENTRY_VMS = 2;
  private static final int BACKEND_VMS = 3;

  @Override
  public int type() {
    return 15;
  }

  @Override
  public Class<VmListReport> messageClass() {
    return VmListReport.class;
  }

  @Override
  public void write(VmListReport message, FieldWriter fields) throws IOException {
    fields.writeLong(VERSION, message.list().version());
    fields.writeList(ENTRY_VMS, message.list().entryVms(), VmFields::write);
    fields.writeList(BACKEND_VMS, message.list().backendVms(), VmFields::write);
  }

  @Override
  public VmListReport read(FieldReader fields) throws IOException {
    long version = 0;
    List<Vm> entryVms = List.of();
    List<BackendVm> backendVms = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case VERSION -> version = fields.readLong();
        case ENTRY_VMS -> entryVms = fields.readList(VmFields::readVm);
        case BACKEND_VMS -> backendVms = fields.readList(VmFields::readBackendVm);
        default -> fields.skipValue();
      }
    }
    return new VmListReport(new VmList(version, entryVms, backendVms));
  }
}
