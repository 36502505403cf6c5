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
    fields.integer(REQUEST_ID, message.requestId());
    fields.text(WORKSPACE, message.workspace().value());
    fields.real(FRACTION, message.fraction());
    fields.integer(VALID_NANOS, message.validNanos());
  }

  @Override
  public LeaseRequest read(FieldReader fields) throws IOException {
    long requestId = 0;
    String workspace = "";
    double fraction = 0;
    long validNanos = 0;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case REQUEST_ID -> requestId = fields.integer();
        case WORKSPACE -> workspace = fields.text();
        case FRACTION -> fraction = fields.real();
        case VALID_NANOS -> validNanos = fields.integer();
        default -> fields.skip();
      }
    }
    return new LeaseRequest(requestId, new WorkspaceId(workspace), fraction, validNanos);
  }
}
