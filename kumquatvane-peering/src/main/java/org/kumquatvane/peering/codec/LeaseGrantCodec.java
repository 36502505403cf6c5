package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.LeaseGrant;

/** Codec of {@link LeaseGrant}. */
public final class LeaseGrantCodec implements MessageCodec<LeaseGrant> {
  private static final int REQUEST_ID = 1;
  private static final int WORKSPACE = 2;
  private static final int FRACTION = 3;
  private static final int TOKENS = 4;
  private static final int VALID_NANOS = 5;

  @Override
  public int type() {
    return 21;
  }

  @Override
  public Class<LeaseGrant> messageClass() {
    return LeaseGrant.class;
  }

  @Override
  public void write(LeaseGrant message, FieldWriter fields) throws IOException {
    fields.writeLong(REQUEST_ID, message.requestId());
    fields.writeString(WORKSPACE, message.workspace().value());
    fields.writeDouble(FRACTION, message.fraction());
    fields.writeDouble(TOKENS, message.tokens());
    fields.writeLong(VALID_NANOS, message.validNanos());
  }

  @Override
  public LeaseGrant read(FieldReader fields) throws IOException {
    long requestId = 0;
    String workspace = "";
    double fraction = 0;
    double tokens = 0;
    long validNanos = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case REQUEST_ID -> requestId = fields.readLong();
        case WORKSPACE -> workspace = fields.readString();
        case FRACTION -> fraction = fields.readDouble();
        case TOKENS -> tokens = fields.readDouble();
        case VALID_NANOS -> validNanos = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new LeaseGrant(requestId, new WorkspaceId(workspace), fraction, tokens, validNanos);
  }
}
