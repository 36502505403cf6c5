package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.membership.DepartureNotice;

/** Codec of {@link DepartureNotice}. */
public final class DepartureNoticeCodec implements MessageCodec<DepartureNotice> {
  private static final int VIEW_DIGEST = 1;

  @Override
  public int type() {
    return 4;
  }

  @Override
  public Class<DepartureNotice> messageClass() {
    return DepartureNotice.class;
  }

  @Override
  public void write(DepartureNotice message, FieldWriter fields) throws IOException {
    fields.writeLong(VIEW_DIGEST, message.viewDigest());
  }

  @Override
  public DepartureNotice read(FieldReader fields) throws IOException {
    long viewDigest = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case VIEW_DIGEST -> viewDigest = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new DepartureNotice(viewDigest);
  }
}
