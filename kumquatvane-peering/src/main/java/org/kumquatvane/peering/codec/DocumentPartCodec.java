package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.distribution.DocumentPart;

/** Codec of {@link DocumentPart}. */
public final class DocumentPartCodec implements MessageCodec<DocumentPart> {
  private static final int DIGEST = 1;
  private static final int TOTAL_BYTES = 2;
  private static final int OFFSET = 3;
  private static final int BYTES = 4;
  private static final byte[] NONE = {};

  @Override
  public int type() {
    return 12;
  }

  @Override
  public Class<DocumentPart> messageClass() {
    return DocumentPart.class;
  }

  @Override
  public void write(DocumentPart message, FieldWriter fields) throws IOException {
    fields.bytes(DIGEST, Digests.bytes(message.digest()));
    fields.integer(TOTAL_BYTES, message.totalBytes());
    fields.integer(OFFSET, message.offset());
    fields.bytes(BYTES, message.bytes());
  }

  @Override
  public DocumentPart read(FieldReader fields) throws IOException {
    byte[] digest = NONE;
    int totalBytes = 0;
    int offset = 0;
    byte[] bytes = NONE;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case DIGEST -> digest = fields.bytes();
        case TOTAL_BYTES -> totalBytes = fields.smallInteger();
        case OFFSET -> offset = fields.smallInteger();
        case BYTES -> bytes = fields.bytes();
        default -> fields.skip();
      }
    }
    return new DocumentPart(Digests.content(digest), totalBytes, offset, bytes);
  }
}
