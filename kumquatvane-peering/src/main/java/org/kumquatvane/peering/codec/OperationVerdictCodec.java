package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.operations.AttemptId;
import org.kumquatvane.operations.HolderReply;
import org.kumquatvane.operations.OperationVerdict;

/** Codec of {@link OperationVerdict}. */
public final class OperationVerdictCodec implements MessageCodec<OperationVerdict> {
  private static final int ATTEMPT = 1;
  private static final int VIEW_DIGEST = 2;
  private static final int REPLY = 3;

  @Override
  public int type() {
    return 31;
  }

  @Override
  public Class<OperationVerdict> messageClass() {
    return OperationVerdict.class;
  }

  @Override
  public void write(OperationVerdict message, FieldWriter fields) throws IOException {
    fields.writeMap(ATTEMPT, message.attempt(), OperationFields::write);
    fields.writeLong(VIEW_DIGEST, message.viewDigest());
    fields.writeMap(REPLY, message.reply(), OperationFields::write);
  }

  @Override
  public OperationVerdict read(FieldReader fields) throws IOException {
    @Nullable AttemptId attempt = null;
    long viewDigest = 0;
    @Nullable HolderReply reply = null;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case ATTEMPT -> attempt = fields.readMap(OperationFields::readAttempt);
        case VIEW_DIGEST -> viewDigest = fields.readLong();
        case REPLY -> reply = fields.readMap(OperationFields::readReply);
        default -> fields.skipValue();
      }
    }
    return new OperationVerdict(
        FieldReader.required(ATTEMPT, attempt), viewDigest, FieldReader.required(REPLY, reply));
  }
}
