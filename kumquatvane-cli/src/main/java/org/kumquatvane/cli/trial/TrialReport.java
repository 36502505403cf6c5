package org.kumquatvane.cli.trial;

import java.util.List;
import java.util.Locale;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentDifference;
import org.kumquatvane.document.PartChange;

/** The report that the trial command prints. */
final class TrialReport {
  private final StringBuilder text = new StringBuilder();

  String text() {
    return text.toString();
  }

  void addDifference(DocumentDifference difference) {
    line("generation " + difference.generationBefore() + " -> " + difference.generationAfter());
    if (difference.changes().isEmpty()) {
      line("no part changes");
    }
    for (PartChange change : difference.changes()) {
      line(lowerCaseName(change.kind()) + " " + lowerCaseName(change.part()) + " " + change.name());
      change.fields().forEach(field -> line("  " + field));
    }
    difference.withdrawnKeys().forEach(key -> line("key " + key + " stops working"));
  }

  void addDecisions(List<SampleRequest> requests, Document before, Document after) {
    DecisionReplay earlier = new DecisionReplay(before);
    DecisionReplay later = new DecisionReplay(after);
    int changed = 0;
    for (SampleRequest request : requests) {
      String decisionBefore = earlier.decide(request).toString();
      String decisionAfter = later.decide(request).toString();
      boolean same = decisionBefore.equals(decisionAfter);
      changed += same ? 0 : 1;
      line(
          (same ? "same    " : "changes ")
              + request.method()
              + " "
              + request.path()
              + " by "
              + request.workspace());
      line("  before: " + decisionBefore);
      if (!same) {
        line("  after:  " + decisionAfter);
      }
    }
    line(changed + " of " + requests.size() + " sampled decisions change");
  }

  private static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  private void line(String content) {
    text.append(content).append('\n');
  }
}
