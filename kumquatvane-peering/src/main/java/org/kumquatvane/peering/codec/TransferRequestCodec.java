package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.operations.TransferRequest;

/** Codec of {@link TransferRequest}. */
public final class TransferRequestCodec implements MessageCodec<TransferRequest> {
  private static final int VIEW_DIGEST = 1;
  private static final int ROUND = 2;

  @Override
  public int type() {
    return 34;
  }

  @Override
  public Class<TransferRequest> messageClass() {
    return TransferRequest.class;
  }

  @Override
  public void write(TransferRequest message, FieldWriter fields) throws IOException {
    fields.integer(VIEW_DIGEST, message.viewDigest());
    fields.integer(ROUND, message.round());
  }

  @Override
  public TransferRequest read(FieldReader fields) throws IOException {
    long viewDigest = 0;
    long round = 0;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case VIEW_DIGEST -> viewDigest = fields.integer();
        case ROUND -> round = fields.integer();
        default -> fields.skip();
      }
    }
    return new TransferRequest(viewDigest, round);
  }
}
