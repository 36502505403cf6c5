package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.ejection.InstanceEvidence;

/** Encodes and decodes the entries of {@link InstanceEvidence}. */
final class EvidenceFields {
  private static final int SERVICE = 1;
  private static final int INSTANCE = 2;
  private static final int ATTEMPTS = 3;
  private static final int FAILURES = 4;
  private static final int LATENCY_SAMPLES = 5;
  private static final int LATENCY_DEVIATION = 6;
  private static final int CERTAINTY = 7;
  private static final int REMAINING_MILLIS = 8;
  private static final int FIRST_HAND = 9;

  private EvidenceFields() {}

  static void write(InstanceEvidence.Counts counts, FieldWriter fields) throws IOException {
    fields.writeString(SERVICE, counts.service().value());
    fields.writeString(INSTANCE, counts.instance().value());
    fields.writeDouble(ATTEMPTS, counts.attempts());
    fields.writeDouble(FAILURES, counts.failures());
    fields.writeDouble(LATENCY_SAMPLES, counts.latencySamples());
    fields.writeDouble(LATENCY_DEVIATION, counts.latencyDeviation());
  }

  static void write(InstanceEvidence.Ejected ejected, FieldWriter fields) throws IOException {
    fields.writeString(SERVICE, ejected.service().value());
    fields.writeString(INSTANCE, ejected.instance().value());
    fields.writeDouble(CERTAINTY, ejected.certainty());
    fields.writeLong(REMAINING_MILLIS, ejected.remainingMillis());
    fields.writeBoolean(FIRST_HAND, ejected.firstHand());
  }

  static InstanceEvidence.Counts readCounts(FieldReader fields) throws IOException {
    Entry entry = new Entry(fields);
    return new InstanceEvidence.Counts(
        entry.service(),
        entry.instance(),
        entry.attempts,
        entry.failures,
        entry.latencySamples,
        entry.latencyDeviation);
  }

  static InstanceEvidence.Ejected readEjected(FieldReader fields) throws IOException {
    Entry entry = new Entry(fields);
    return new InstanceEvidence.Ejected(
        entry.service(), entry.instance(), entry.certainty, entry.remainingMillis, entry.firstHand);
  }

  private static final class Entry {
    private String service = "";
    private String instance = "";
    private double attempts;
    private double failures;
    private double latencySamples;
    private double latencyDeviation;
    private double certainty;
    private long remainingMillis;
    private boolean firstHand;

    Entry(FieldReader fields) throws IOException {
      for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
        switch (field) {
          case SERVICE -> service = fields.readString();
          case INSTANCE -> instance = fields.readString();
          case ATTEMPTS -> attempts = fields.readDouble();
          case FAILURES -> failures = fields.readDouble();
          case LATENCY_SAMPLES -> latencySamples = fields.readDouble();
          case LATENCY_DEVIATION -> latencyDeviation = fields.readDouble();
          case CERTAINTY -> certainty = fields.readDouble();
          case REMAINING_MILLIS -> remainingMillis = fields.readLong();
          case FIRST_HAND -> firstHand = fields.readBoolean();
          default -> fields.skipValue();
        }
      }
    }

    ServiceName service() {
      return new ServiceName(service);
    }

    InstanceId instance() {
      return new InstanceId(instance);
    }
  }
}
