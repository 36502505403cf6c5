package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.TokenGrant;

/** Codec of {@link TokenGrant}. */
public final class TokenGrantCodec implements MessageCodec<TokenGrant> {
  private static final int REQUEST_ID = 1;
  private static final int WORKSPACE = 2;
  private static final int COUNT = 3;
  private static final int RETRY_AFTER_NANOS = 4;

  @Override
  public int type() {
    return 23;
  }

  @Override
  public Class<TokenGrant> messageClass() {
    return TokenGrant.class;
  }

  @Override
  public void write(TokenGrant message, FieldWriter fields) throws IOException {
    fields.writeLong(REQUEST_ID, message.requestId());
    fields.writeString(WORKSPACE, message.workspace().value());
    fields.writeLong(COUNT, message.count());
    fields.writeLong(RETRY_AFTER_NANOS, message.retryAfterNanos());
  }

  @Override
  public TokenGrant read(FieldReader fields) throws IOException {
    long requestId = 0;
    String workspace = "";
    int count = 0;
    long retryAfterNanos = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case REQUEST_ID -> requestId = fields.readLong();
        case WORKSPACE -> workspace = fields.readString();
        case COUNT -> count = fields.readInt();
        case RETRY_AFTER_NANOS -> retryAfterNanos = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new TokenGrant(requestId, new WorkspaceId(workspace), count, retryAfterNanos);
  }
}
