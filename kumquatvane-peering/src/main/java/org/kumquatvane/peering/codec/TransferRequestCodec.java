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
    fields.writeLong(VIEW_DIGEST, message.viewDigest());
    fields.writeLong(ROUND, message.round());
  }

  @Override
  public TransferRequest read(FieldReader fields) throws IOException {
    long viewDigest = 0;
    long round = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case VIEW_DIGEST -> viewDigest = fields.readLong();
        case ROUND -> round = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new TransferRequest(viewDigest, round);
  }
}
