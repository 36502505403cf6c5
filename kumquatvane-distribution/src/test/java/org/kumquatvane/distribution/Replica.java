package org.kumquatvane.distribution;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Items that one VM has applied. */
final class Replica {
  final Map<String, String> values = new TreeMap<>();
  private final Map<String, SourcePosition> positions = new HashMap<>();
  final Set<String> usedValues = new TreeSet<>();
  int regressions;

  /** Number of times at which the configuration went back to an earlier value. */
  int configurationRegressions;

  boolean sawRecovery;
  @Nullable Throwable failure;

  void apply(List<SourceItem> changed, boolean sourceRecovered) {
    sawRecovery |= sourceRecovered;
    if (failure instanceof RuntimeException exception) {
      throw exception;
    }
    if (failure instanceof Error error) {
      throw error;
    }
    for (SourceItem item : changed) {
      SourcePosition before = positions.put(item.key(), item.position());
      regressions += before != null && before.isAfter(item.position()) ? 1 : 0;
      if (item.value().isPresent()) {
        String value = text(item);
        String known = values.put(item.key(), value);
        if (known != null && item.key().equals(NumberedRules.CONFIGURATION)) {
          configurationRegressions +=
              NumberedRules.number(known) > NumberedRules.number(value) ? 1 : 0;
        }
        usedValues.add(value);
      } else {
        values.remove(item.key());
      }
    }
  }

  static String text(SourceItem item) {
    return new String(item.value().orElseThrow(), StandardCharsets.UTF_8);
  }
}
