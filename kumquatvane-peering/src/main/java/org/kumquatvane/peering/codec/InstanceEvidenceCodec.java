package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import org.kumquatvane.ejection.InstanceEvidence;

/** Codec of {@link InstanceEvidence}. */
public final class InstanceEvidenceCodec implements MessageCodec<InstanceEvidence> {
  private static final int SEQUENCE = 1;
  private static final int COUNTS = 2;
  private static final int EJECTIONS = 3;

  @Override
  public int type() {
    return 40;
  }

  @Override
  public Class<InstanceEvidence> messageClass() {
    return InstanceEvidence.class;
  }

  @Override
  public void write(InstanceEvidence message, FieldWriter fields) throws IOException {
    fields.writeLong(SEQUENCE, message.sequence());
    fields.writeList(COUNTS, message.counts(), EvidenceFields::write);
    fields.writeList(EJECTIONS, message.ejections(), EvidenceFields::write);
  }

  @Override
  public InstanceEvidence read(FieldReader fields) throws IOException {
    long sequence = 0;
    List<InstanceEvidence.Counts> counts = List.of();
    List<InstanceEvidence.Ejected> ejections = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case SEQUENCE -> sequence = fields.readLong();
        case COUNTS -> counts = fields.readList(EvidenceFields::readCounts);
        case EJECTIONS -> ejections = fields.readList(EvidenceFields::readEjected);
        default -> fields.skipValue();
      }
    }
    return new InstanceEvidence(sequence, counts, ejections);
  }
}
