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
    fields.text(FINGERPRINT, message.fingerprint().value());
    fields.text(INSTANCE, message.instance().value());
    fields.bool(LOST, message.outcome() == CrashReport.Outcome.INSTANCE_LOST);
  }

  @Override
  public CrashReport read(FieldReader fields) throws IOException {
    String fingerprint = "";
    String instance = "";
    boolean lost = false;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case FINGERPRINT -> fingerprint = fields.text();
        case INSTANCE -> instance = fields.text();
        case LOST -> lost = fields.bool();
        default -> fields.skip();
      }
    }
    return new CrashReport(
        new RequestFingerprint(fingerprint),
        new InstanceId(instance),
        lost ? CrashReport.Outcome.INSTANCE_LOST : CrashReport.Outcome.ANSWERED);
  }
}
