package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.distribution.ItemsInquiry;

/** Codec of {@link ItemsInquiry}. */
public final class ItemsInquiryCodec implements MessageCodec<ItemsInquiry> {
  private static final int KNOWN_REVISION = 1;

  @Override
  public int type() {
    return 52;
  }

  @Override
  public Class<ItemsInquiry> messageClass() {
    return ItemsInquiry.class;
  }

  @Override
  public void write(ItemsInquiry message, FieldWriter fields) throws IOException {
    fields.writeLong(KNOWN_REVISION, message.knownRevision());
  }

  @Override
  public ItemsInquiry read(FieldReader fields) throws IOException {
    long knownRevision = -1;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case KNOWN_REVISION -> knownRevision = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new ItemsInquiry(knownRevision);
  }
}
