package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.distribution.DocumentOffer;

/** Codec of {@link DocumentOffer}. */
public final class DocumentOfferCodec implements MessageCodec<DocumentOffer> {
  private static final int GENERATION = 1;
  private static final int DIGEST = 2;
  private static final byte[] NONE = {};

  @Override
  public int type() {
    return 10;
  }

  @Override
  public Class<DocumentOffer> messageClass() {
    return DocumentOffer.class;
  }

  @Override
  public void write(DocumentOffer message, FieldWriter fields) throws IOException {
    fields.writeLong(GENERATION, message.generation());
    fields.writeBytes(DIGEST, Digests.toBytes(message.digest()));
  }

  @Override
  public DocumentOffer read(FieldReader fields) throws IOException {
    long generation = 0;
    byte[] digest = NONE;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case GENERATION -> generation = fields.readLong();
        case DIGEST -> digest = fields.readBytes();
        default -> fields.skipValue();
      }
    }
    return new DocumentOffer(generation, Digests.toContentDigest(digest));
  }
}
