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
  private static final int ANSWER = 3;

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
    fields.nested(ATTEMPT, message.attempt(), OperationFields::write);
    fields.integer(VIEW_DIGEST, message.viewDigest());
    fields.nested(ANSWER, message.reply(), OperationFields::write);
  }

  @Override
  public OperationVerdict read(FieldReader fields) throws IOException {
    @Nullable AttemptId attempt = null;
    long viewDigest = 0;
    @Nullable HolderReply reply = null;
    for (int field = fields.next(); field >= 0; field = fields.next()) {
      switch (field) {
        case ATTEMPT -> attempt = fields.nested(OperationFields::readAttempt);
        case VIEW_DIGEST -> viewDigest = fields.integer();
        case ANSWER -> reply = fields.nested(OperationFields::readAnswer);
        default -> fields.skip();
      }
    }
    return new OperationVerdict(
        FieldReader.required(ATTEMPT, attempt), viewDigest, FieldReader.required(ANSWER, reply));
  }
}
