package org.kumquatvane.json;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;

@UseReporter(QuietReporter.class)
class ObjectReaderTest {
  private static final TextForm SECRET = TextForm.ofSecret("[a-z]{8,}", "of 8 letters");
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

  /** Guards against faults that stop at the first one, show a secret or lack a remedy. */
  @Test
  void reportsEveryFaultWithPlaceAndRemedy() {
    FaultCollector faults = new FaultCollector();
    JsonValue root =
        new JsonReader(JsonLimits.STANDARD)
            .read("sample.jsonc", INPUT.getBytes(StandardCharsets.UTF_8), faults)
            .orElseThrow();
    ObjectReader reader = ObjectReader.ofRoot("sample.jsonc", root, faults);
    reader.text("text", TextForm.NAME);
    reader.text("form", TextForm.NAME);
    reader.text("secret", SECRET);
    reader.text("missing", TextForm.NAME);
    reader.integer("number", 1, 9);
    reader.integer("whole", 1, 9);
    reader.integer("huge", 1, 9);
    reader.integer("low", 1, 9, 5);
    reader.decimal("rate", 0.5, 9);
    reader.truth("truth", true);
    reader.choice("choice", Colour.RED);
    reader.choice("choiceType", Colour.RED);
    reader.object("object");
    reader.texts("list", TextForm.NAME);
    reader.objects("objects", element -> element.integer("outer", 1, 9));
    reader.texts("texts", TextForm.NAME);
    reader.finish();
    Approvals.verify(
        faults.faults().stream().map(Fault::toString).collect(Collectors.joining("\n")));
  }
}
