package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.ejection.CrashReport;
import org.kumquatvane.ejection.RequestFingerprint;

/** Codec of {@link CrashReport}. */
public final class CrashReportCodec implements MessageCodec<CrashReport> {
  private static final int FINGERPRINT = 1;
  private static final int INSTANCE = 2;
  private static final int LOST = 3;

  @Override
  public int type() {
    return 41;
  }

  @Override
  public Class<CrashReport> messageClass() {
    return CrashReport.class;
  }

  @Override
  public void write(CrashReport message, FieldWriter fields) throws IOException {
    fields.writeString(FINGERPRINT, message.fingerprint().value());
    fields.writeString(INSTANCE, message.instance().value());
    fields.writeBoolean(LOST, message.outcome() == CrashReport.Outcome.INSTANCE_LOST);
  }

  @Override
  public CrashReport read(FieldReader fields) throws IOException {
    String fingerprint = "";
    String instance = "";
    boolean lost = false;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case FINGERPRINT -> fingerprint = fields.readString();
        case INSTANCE -> instance = fields.readString();
        case LOST -> lost = fields.readBoolean();
        default -> fields.skipValue();
      }
    }
    return new CrashReport(
        new RequestFingerprint(fingerprint),
        new InstanceId(instance),
        lost ? CrashReport.Outcome.INSTANCE_LOST : CrashReport.Outcome.ANSWERED);
  }
}
