package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.LeaseRequest;

/** Codec of {@link LeaseRequest}. */
public final class LeaseRequestCodec implements MessageCodec<LeaseRequest> {
  private static final int REQUEST_ID = 1;
  private static final int WORKSPACE = 2;
  private static final int FRACTION = 3;
  private static final int VALID_NANOS = 4;

  @Override
  public int type() {
    return 20;
  }

  @Override
  public Class<LeaseRequest> messageClass() {
    return LeaseRequest.class;
  }

  @Override
  public void write(LeaseRequest message, FieldWriter fields) throws IOException {
    fields.writeLong(REQUEST_ID, message.requestId());
    fields.writeString(WORKSPACE, message.workspace().value());
    fields.writeDouble(FRACTION, message.fraction());
    fields.writeLong(VALID_NANOS, message.validNanos());
  }

  @Override
  public LeaseRequest read(FieldReader fields) throws IOException {
    long requestId = 0;
    String workspace = "";
    double fraction = 0;
    long validNanos = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case REQUEST_ID -> requestId = fields.readLong();
        case WORKSPACE -> workspace = fields.readString();
        case FRACTION -> fraction = fields.readDouble();
        case VALID_NANOS -> validNanos = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new LeaseRequest(requestId, new WorkspaceId(workspace), fraction, validNanos);
  }
}
