package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.List;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.selection.InstanceActivity;

/** Codec of {@link InstanceActivity}. */
public final class InstanceActivityCodec implements MessageCodec<InstanceActivity> {
  private static final int SEQUENCE = 1;
  private static final int RUNNING = 2;
  private static final int OUTCOMES = 3;
  private static final int INSTANCE = 1;
  private static final int MILLIS = 2;
  private static final int KIND = 3;

  /** Kinds indexed by their number on the wire; numbers are never reused. */
  private static final List<AttemptOutcome.Kind> KINDS =
      List.of(
          AttemptOutcome.Kind.SUCCESS,
          AttemptOutcome.Kind.SERVER_ERROR,
          AttemptOutcome.Kind.TIMED_OUT,
          AttemptOutcome.Kind.CONNECT_FAILED,
          AttemptOutcome.Kind.CONNECTION_LOST,
          AttemptOutcome.Kind.ANSWER_INVALID,
          AttemptOutcome.Kind.SHED,
          AttemptOutcome.Kind.CANCELLED);

  @Override
  public int type() {
    return 53;
  }

  @Override
  public Class<InstanceActivity> messageClass() {
    return InstanceActivity.class;
  }

  @Override
  public void write(InstanceActivity message, FieldWriter fields) throws IOException {
    fields.writeLong(SEQUENCE, message.sequence());
    fields.writeList(RUNNING, message.running(), InstanceActivityCodec::writeRunning);
    fields.writeList(OUTCOMES, message.outcomes(), InstanceActivityCodec::writeOutcome);
  }

  private static void writeRunning(InstanceActivity.Running running, FieldWriter fields)
      throws IOException {
    fields.writeString(INSTANCE, running.instance().value());
    fields.writeLong(MILLIS, running.ageMillis());
  }

  private static void writeOutcome(InstanceActivity.Outcome outcome, FieldWriter fields)
      throws IOException {
    fields.writeString(INSTANCE, outcome.instance().value());
    fields.writeLong(MILLIS, outcome.latencyMillis());
    fields.writeLong(KIND, KINDS.indexOf(outcome.kind()));
  }

  @Override
  public InstanceActivity read(FieldReader fields) throws IOException {
    long sequence = 0;
    List<Entry> running = List.of();
    List<Entry> outcomes = List.of();
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case SEQUENCE -> sequence = fields.readLong();
        case RUNNING -> running = fields.readList(Entry::new);
        case OUTCOMES -> outcomes = fields.readList(Entry::new);
        default -> fields.skipValue();
      }
    }
    return new InstanceActivity(
        sequence,
        running.stream().map(Entry::running).toList(),
        outcomes.stream().filter(Entry::hasKnownKind).map(Entry::outcome).toList());
  }

  private static final class Entry {
    private String instance = "";
    private long millis;
    private int kind = -1;

    private Entry(FieldReader fields) throws IOException {
      for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
        switch (field) {
          case INSTANCE -> instance = fields.readString();
          case MILLIS -> millis = fields.readLong();
          case KIND -> kind = fields.readInt();
          default -> fields.skipValue();
        }
      }
    }

    private InstanceActivity.Running running() {
      return new InstanceActivity.Running(new InstanceId(instance), millis);
    }

    /** Returns false for kinds that only a newer version supports. */
    private boolean hasKnownKind() {
      return kind >= 0 && kind < KINDS.size();
    }

    private InstanceActivity.Outcome outcome() {
      return new InstanceActivity.Outcome(new InstanceId(instance), KINDS.get(kind), millis);
    }
  }
}
