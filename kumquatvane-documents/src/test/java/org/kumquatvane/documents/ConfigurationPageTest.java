package org.kumquatvane.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.json.Fault;
import org.kumquatvane.json.FaultCollector;

class ConfigurationPageTest {
  private static List<Fault> parseFaults(String text) {
    DocumentResult result =
        new DocumentParser()
            .parse("document", text.getBytes(StandardCharsets.UTF_8), FragmentSource.NONE);
    return assertInstanceOf(DocumentResult.Invalid.class, result).faults();
  }

  /** Guards against fields that docs/configuration.md does not explain. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"x\": 1}",
        "{\"fleet\": {\"x\": 1}}",
        "{\"workspaces\": [{\"x\": 1}]}",
        "{\"services\": [{\"x\": 1}]}",
        "{\"services\": [{\"queue\": {\"x\": 1}}]}",
        "{\"services\": [{\"ejection\": {\"x\": 1}}]}",
        "{\"services\": [{\"retry\": {\"x\": 1}}]}",
        "{\"routes\": [{\"x\": 1}]}",
        "{\"fragments\": [{\"x\": 1}]}"
      })
  void explainsEveryField(String text) throws IOException {
    String page = Files.readString(Path.of("..", "docs", "configuration.md"));
    Fault unknown =
        parseFaults(text).stream()
            .filter(fault -> fault.problem().equals("the field is unknown"))
            .findFirst()
            .orElseThrow();
    for (String field : unknown.remedy().replaceFirst(".*use one of: ", "").split(", ")) {
      if (!List.of("queue", "ejection", "retry").contains(field)) {
        assertTrue(page.matches("(?s).*[`.\"]" + field + "[`\"].*"), field);
      }
    }
  }

  /** Guards against unbounded memory use for an input in which every element is invalid. */
  @Test
  void boundsTheNumberOfFaults() {
    List<Fault> faults = parseFaults("{\"workspaces\": [" + "1,".repeat(300_000) + "1]}");
    assertEquals(FaultCollector.MAXIMUM_FAULTS + 1, faults.size());
  }
}
