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
    fields.integer(REQUEST_ID, message.requestId());
    fields.text(WORKSPACE, message.workspace().value());
    fields.real(FRACTION, message.fraction());
    fields.real(TOKENS, message.tokens());
    fields.integer(VALID_NANOS, message.validNanos());
  }

  @Override
  public LeaseGrant read(FieldReader fields) throws IOException {
    long requestId = 0;
    String workspace = "";
    double fraction = 0;
    double tokens = 0;
    long validNanos = 0;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case REQUEST_ID -> requestId = fields.integer();
        case WORKSPACE -> workspace = fields.text();
        case FRACTION -> fraction = fields.real();
        case TOKENS -> tokens = fields.real();
        case VALID_NANOS -> validNanos = fields.integer();
        default -> fields.skip();
      }
    }
    return new LeaseGrant(requestId, new WorkspaceId(workspace), fraction, tokens, validNanos);
  }
}
