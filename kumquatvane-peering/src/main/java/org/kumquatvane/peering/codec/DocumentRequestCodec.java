package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.distribution.DocumentRequest;

/** Codec of {@link DocumentRequest}. */
public final class DocumentRequestCodec implements MessageCodec<DocumentRequest> {
  private static final int DIGEST = 1;
  private static final int OFFSET = 2;
  private static final byte[] NONE = {};

  @Override
  public int type() {
    return 11;
  }

  @Override
  public Class<DocumentRequest> messageClass() {
    return DocumentRequest.class;
  }

  @Override
  public void write(DocumentRequest message, FieldWriter fields) throws IOException {
    fields.writeBytes(DIGEST, Digests.toBytes(message.digest()));
    fields.writeLong(OFFSET, message.offset());
  }

  @Override
  public DocumentRequest read(FieldReader fields) throws IOException {
    byte[] digest = NONE;
    int offset = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case DIGEST -> digest = fields.readBytes();
        case OFFSET -> offset = fields.readInt();
        default -> fields.skipValue();
      }
    }
    return new DocumentRequest(Digests.toContentDigest(digest), offset);
  }
}
