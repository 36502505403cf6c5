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
    fields.integer(GENERATION, message.generation());
    fields.bytes(DIGESTS, Digests.bytes(message.digests()));
  }

  @Override
  public KeyWithdrawal read(FieldReader fields) throws IOException {
    long generation = 0;
    byte[] digests = NONE;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case GENERATION -> generation = fields.integer();
        case DIGESTS -> digests = fields.bytes();
        default -> fields.skip();
      }
    }
    return new KeyWithdrawal(generation, Digests.keys(digests));
  }
}
