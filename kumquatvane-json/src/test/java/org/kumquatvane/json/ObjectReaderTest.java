package org.kumquatvane.json;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;

@UseReporter(QuietReporter.class)
class ObjectReaderTest {
  private static final StringFormat SECRET = StringFormat.ofSecret("[a-z]{8,}", "of 8 letters");
  private static final String INPUT =
      """
      {
        "text": 1, "form": "not a name!", "secret": "S3CRET", "number": "x",
        "whole": 1.5, "huge": 1e999999999, "low": -1, "rate": 1e400,
        "truth": "yes", "choice": "blue", "choiceType": null, "object": [],
        "list": {}, "objects": [1, {"inner": 1}], "texts": ["ok", 5, ""],
        "unknown": 0
      }
      """;

  private enum Colour {
    RED,
    DARK_GREEN
  }

  /** Guards against readers that stop at the first fault, disclose a secret or omit the remedy. */
  @Test
  void reportsEveryFaultWithLocationAndRemedy() {
    FaultCollector faults = new FaultCollector();
    JsonValue root =
        new JsonReader(JsonLimits.STANDARD)
            .read("sample.jsonc", INPUT.getBytes(StandardCharsets.UTF_8), faults)
            .orElseThrow();
    ObjectReader reader = ObjectReader.forRoot("sample.jsonc", root, faults);
    reader.readString("text", StringFormat.NAME);
    reader.readString("form", StringFormat.NAME);
    reader.readString("secret", SECRET);
    reader.readString("missing", StringFormat.NAME);
    reader.readLong("number", 1, 9);
    reader.readLong("whole", 1, 9);
    reader.readLong("huge", 1, 9);
    reader.readLong("low", 1, 9, 5);
    reader.readDouble("rate", 0.5, 9);
    reader.readBoolean("truth", true);
    reader.readEnum("choice", Colour.RED);
    reader.readEnum("choiceType", Colour.RED);
    reader.readObject("object");
    reader.readStrings("list", StringFormat.NAME);
    reader.readObjects("objects", element -> element.readLong("outer", 1, 9));
    reader.readStrings("texts", StringFormat.NAME);
    reader.reportUnknownFields();
    Approvals.verify(
        faults.faults().stream().map(Fault::toString).collect(Collectors.joining("\n")));
  }
}
