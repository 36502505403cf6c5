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
    fields.integer(REQUEST_ID, message.requestId());
    fields.text(WORKSPACE, message.workspace().value());
    fields.integer(COUNT, message.count());
    fields.integer(VALID_NANOS, message.validNanos());
    fields.bool(COLLECT, message.collect());
  }

  @Override
  public TokenRequest read(FieldReader fields) throws IOException {
    long requestId = 0;
    String workspace = "";
    int count = 0;
    long validNanos = 0;
    boolean collect = false;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case REQUEST_ID -> requestId = fields.integer();
        case WORKSPACE -> workspace = fields.text();
        case COUNT -> count = fields.smallInteger();
        case VALID_NANOS -> validNanos = fields.integer();
        case COLLECT -> collect = fields.bool();
        default -> fields.skip();
      }
    }
    return new TokenRequest(requestId, new WorkspaceId(workspace), count, collect, validNanos);
  }
}
