package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.membership.ConfigurationVersions;
import org.kumquatvane.membership.Heartbeat;

/** Codec of {@link Heartbeat}. */
public final class HeartbeatCodec implements MessageCodec<Heartbeat> {
  private static final int NONCE = 1;
  private static final int VIEW_DIGEST = 2;
  private static final int GENERATION = 3;
  private static final int WITHDRAWAL_COUNT = 4;
  private static final int VM_LIST_VERSION = 5;

  @Override
  public int type() {
    return 1;
  }

  @Override
  public Class<Heartbeat> messageClass() {
    return Heartbeat.class;
  }

  @Override
  public void write(Heartbeat message, FieldWriter fields) throws IOException {
    fields.writeLong(NONCE, message.nonce());
    fields.writeLong(VIEW_DIGEST, message.viewDigest());
    fields.writeLong(GENERATION, message.configuration().generation());
    fields.writeLong(WITHDRAWAL_COUNT, message.configuration().withdrawalCount());
    fields.writeLong(VM_LIST_VERSION, message.configuration().vmListVersion());
  }

  @Override
  public Heartbeat read(FieldReader fields) throws IOException {
    int nonce = 0;
    long viewDigest = 0;
    long generation = 0;
    int withdrawalCount = 0;
    long vmListVersion = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case NONCE -> nonce = fields.readInt();
        case VIEW_DIGEST -> viewDigest = fields.readLong();
        case GENERATION -> generation = fields.readLong();
        case WITHDRAWAL_COUNT -> withdrawalCount = fields.readInt();
        case VM_LIST_VERSION -> vmListVersion = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new Heartbeat(
        nonce, viewDigest, new ConfigurationVersions(generation, withdrawalCount, vmListVersion));
  }
}
