package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.distribution.KeyWithdrawal;

/** Codec of {@link KeyWithdrawal}. */
public final class KeyWithdrawalCodec implements MessageCodec<KeyWithdrawal> {
  private static final int GENERATION = 1;
  private static final int DIGESTS = 2;
  private static final byte[] NONE = {};

  @Override
  public int type() {
    return 14;
  }

  @Override
  public Class<KeyWithdrawal> messageClass() {
    return KeyWithdrawal.class;
  }

  @Override
  public void write(KeyWithdrawal message, FieldWriter fields) throws IOException {
    fields.writeLong(GENERATION, message.generation());
    fields.writeBytes(DIGESTS, Digests.toBytes(message.digests()));
  }

  @Override
  public KeyWithdrawal read(FieldReader fields) throws IOException {
    long generation = 0;
    byte[] digests = NONE;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case GENERATION -> generation = fields.readLong();
        case DIGESTS -> digests = fields.readBytes();
        default -> fields.skipValue();
      }
    }
    return new KeyWithdrawal(generation, Digests.toKeyDigests(digests));
  }
}
