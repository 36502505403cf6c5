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
    fields.writeBytes(DIGEST, Digests.toBytes(message.digest()));
    fields.writeLong(TOTAL_BYTES, message.totalBytes());
    fields.writeLong(OFFSET, message.offset());
    fields.writeBytes(BYTES, message.bytes());
  }

  @Override
  public DocumentPart read(FieldReader fields) throws IOException {
    byte[] digest = NONE;
    int totalBytes = 0;
    int offset = 0;
    byte[] bytes = NONE;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case DIGEST -> digest = fields.readBytes();
        case TOTAL_BYTES -> totalBytes = fields.readInt();
        case OFFSET -> offset = fields.readInt();
        case BYTES -> bytes = fields.readBytes();
        default -> fields.skipValue();
      }
    }
    return new DocumentPart(Digests.toContentDigest(digest), totalBytes, offset, bytes);
  }
}
