package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.membership.HeartbeatReply;

/** Codec of {@link HeartbeatReply}. */
public final class HeartbeatReplyCodec implements MessageCodec<HeartbeatReply> {
  private static final int NONCE = 1;
  private static final int PROMISED_DIGEST = 2;

  @Override
  public int type() {
    return 2;
  }

  @Override
  public Class<HeartbeatReply> messageClass() {
    return HeartbeatReply.class;
  }

  @Override
  public void write(HeartbeatReply message, FieldWriter fields) throws IOException {
    fields.writeLong(NONCE, message.nonce());
    fields.writeLong(PROMISED_DIGEST, message.promisedDigest());
  }

  @Override
  public HeartbeatReply read(FieldReader fields) throws IOException {
    int nonce = 0;
    long promisedDigest = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case NONCE -> nonce = fields.readInt();
        case PROMISED_DIGEST -> promisedDigest = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new HeartbeatReply(nonce, promisedDigest);
  }
}
