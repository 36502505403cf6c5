package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.ejection.InstanceEvidence;

/** Fields of the entries of {@link InstanceEvidence}. */
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
    fields.text(SERVICE, counts.service().value());
    fields.text(INSTANCE, counts.instance().value());
    fields.real(ATTEMPTS, counts.attempts());
    fields.real(FAILURES, counts.failures());
    fields.real(LATENCY_SAMPLES, counts.latencySamples());
    fields.real(LATENCY_DEVIATION, counts.latencyDeviation());
  }

  static void write(InstanceEvidence.Ejected ejected, FieldWriter fields) throws IOException {
    fields.text(SERVICE, ejected.service().value());
    fields.text(INSTANCE, ejected.instance().value());
    fields.real(CERTAINTY, ejected.certainty());
    fields.integer(REMAINING_MILLIS, ejected.remainingMillis());
    fields.bool(FIRST_HAND, ejected.firstHand());
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
      for (int field = fields.next(); field >= 0; field = fields.next()) {
        switch (field) {
          case SERVICE -> service = fields.text();
          case INSTANCE -> instance = fields.text();
          case ATTEMPTS -> attempts = fields.real();
          case FAILURES -> failures = fields.real();
          case LATENCY_SAMPLES -> latencySamples = fields.real();
          case LATENCY_DEVIATION -> latencyDeviation = fields.real();
          case CERTAINTY -> certainty = fields.real();
          case REMAINING_MILLIS -> remainingMillis = fields.integer();
          case FIRST_HAND -> firstHand = fields.bool();
          default -> fields.skip();
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
