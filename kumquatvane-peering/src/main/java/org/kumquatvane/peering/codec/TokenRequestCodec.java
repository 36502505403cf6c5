package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.limits.TokenRequest;

/** Codec of {@link TokenRequest}. */
public final class TokenRequestCodec implements MessageCodec<TokenRequest> {
  private static final int REQUEST_ID = 1;
  private static final int WORKSPACE = 2;
  private static final int COUNT = 3;
  private static final int VALID_NANOS = 4;
  private static final int COLLECT = 5;

  @Override
  public int type() {
    return 22;
  }

  @Override
  public Class<TokenRequest> messageClass() {
    return TokenRequest.class;
  }

  @Override
  public void write(TokenRequest message, FieldWriter fields) throws IOException {
    fields.writeLong(REQUEST_ID, message.requestId());
    fields.writeString(WORKSPACE, message.workspace().value());
    fields.writeLong(COUNT, message.count());
    fields.writeLong(VALID_NANOS, message.validNanos());
    fields.writeBoolean(COLLECT, message.collect());
  }

  @Override
  public TokenRequest read(FieldReader fields) throws IOException {
    long requestId = 0;
    String workspace = "";
    int count = 0;
    long validNanos = 0;
    boolean collect = false;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case REQUEST_ID -> requestId = fields.readLong();
        case WORKSPACE -> workspace = fields.readString();
        case COUNT -> count = fields.readInt();
        case VALID_NANOS -> validNanos = fields.readLong();
        case COLLECT -> collect = fields.readBoolean();
        default -> fields.skipValue();
      }
    }
    return new TokenRequest(requestId, new WorkspaceId(workspace), count, collect, validNanos);
  }
}
