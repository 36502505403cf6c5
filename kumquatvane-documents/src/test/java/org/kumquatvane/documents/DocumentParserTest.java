package org.kumquatvane.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.kumquatvane.core.Sha256;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.IdempotencyKeyRule;
import org.kumquatvane.json.Fault;

@UseReporter(QuietReporter.class)
class DocumentParserTest {
  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final String BASE =
      """
      {"generation": 7, "fleet": {"maximumVmCount": 40},
       "workspaces": [{"name": "w", "ratePerSecond": 1, "burstRequests": 2, "keySha256": []}],
       "services": [{"name": "s", "slotsPerInstance": 1, "maximumConnectionsPerInstance": 9}],
       "routes": [{"name": "r", "service": "s", "methods": ["GET"], "path": "/a", "open": true,
                   "timeoutMillis": 100}]}
      """;

  private final DocumentParser parser = new DocumentParser();

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private Document parseValid(String text, FragmentSource fragments) {
    DocumentResult result = parser.parse("document", utf8(text), fragments);
    return assertInstanceOf(DocumentResult.Parsed.class, result, result::toString).document();
  }

  private List<Fault> parseFaults(String text, FragmentSource fragments) {
    DocumentResult result = parser.parse("document", utf8(text), fragments);
    return assertInstanceOf(DocumentResult.Invalid.class, result).faults();
  }

  /** Guards against examples that the parser no longer accepts. */
  @ParameterizedTest
  @ValueSource(strings = {"ruapehu.jsonc", "coed-ffynnon.jsonc"})
  void acceptsTheExamples(String name) throws IOException {
    Document document = parseValid(Files.readString(EXAMPLES.resolve(name)), FragmentSource.NONE);
    assertEquals(2, document.services().size());
    assertEquals(3, document.workspaces().size());
  }

  /** Guards against defaults that differ from docs/configuration.md. */
  @Test
  void fillsInTheDefaults() {
    Document document = parseValid(BASE, FragmentSource.NONE);
    Approvals.verify(
        document.generation()
            + "\n"
            + document.fleet()
            + "\n"
            + document.services().get(0)
            + "\n"
            + document.routes().get(0));
  }

  /** Guards against duplicate execution on an unsafe route that omits the idempotent field. */
  @Test
  void treatsUnsafeMethodsAsNotIdempotent() {
    Document document = parseValid(BASE.replace("GET", "POST"), FragmentSource.NONE);
    assertTrue(!document.routes().get(0).idempotent());
    assertEquals(IdempotencyKeyRule.REQUIRED, document.routes().get(0).idempotencyKey());
  }

  /** Guards against inconsistent documents that are accepted. */
  @Test
  void reportsEveryContradiction() {
    String digest = "a".repeat(64);
    String text =
        """
        {"generation": 0, "fleet": {"maximumVmCount": 0, "limitMechanism": "none"},
         "workspaces": [
           {"name": "w", "ratePerSecond": 0, "burstRequests": 0.5, "keySha256": ["D", "D"]},
           {"name": "w", "ratePerSecond": 1, "burstRequests": 2, "keySha256": ["D", "XYZ"]}],
         "services": [
           {"name": "s", "slotsPerInstance": 9, "maximumConnectionsPerInstance": 3,
            "queue": {"maximumWaiting": 1, "maximumWaitingPerWorkspace": 2},
            "ejection": {"profile": "fast", "healthyFloorPercent": 101,
                         "baseEjectionMillis": 2000, "maximumEjectionMillis": 1000},
            "retry": {"mode": "none", "maximumAttempts": 2, "budgetPercent": 5,
                      "baseBackoffMillis": 9}},
           {"name": "s", "slotsPerInstance": 1, "maximumConnectionsPerInstance": 3,
            "retry": {"mode": "budgeted", "maximumAttempts": 1, "budgetPercent": 0}}],
         "routes": [
           {"name": "r", "service": "s", "methods": ["GET"], "path": "/a", "open": true,
            "timeoutMillis": 10, "workspaces": ["w"]},
           {"name": "r", "service": "t", "methods": ["GET", "GET", "get"], "path": "/a",
            "idempotent": false, "timeoutMillis": 100},
           {"name": "q", "service": "s", "methods": [], "path": "/**/b", "workspaces": ["x"],
            "idempotent": true, "idempotencyKey": "required", "timeoutMillis": 100},
           {"name": "p", "service": "s", "path": "/a/../b", "open": true, "timeoutMillis": 0},
           {"name": "o", "service": "s", "methods": ["PUT"], "path": "a?b", "open": true,
            "timeoutMilis": 5}]}
        """
            .replace("\"D\"", "\"" + digest + "\"");
    Approvals.verify(
        parseFaults(text, FragmentSource.NONE).stream()
            .map(Fault::toString)
            .collect(Collectors.joining("\n")));
  }

  /** Guards against a retry policy that can never run on a route. */
  @ParameterizedTest
  @CsvSource({"99, true", "100, false", "5000, false"})
  void comparesBackoffWithTimeout(int backoffMillis, boolean accepted) {
    String retry = "\"retry\": {\"baseBackoffMillis\": " + backoffMillis + "}, \"slots";
    DocumentResult result =
        parser.parse("document", utf8(BASE.replace("\"slots", retry)), FragmentSource.NONE);
    assertEquals(accepted, result instanceof DocumentResult.Parsed, result::toString);
  }

  /** Guards against patterns that the route table would interpret differently. */
  @ParameterizedTest
  @CsvSource({
    "/, true", "/a/, true", "/**, true", "/a/*/c, true", "/*a, false", "/a*/b, false",
    "/a//b, false", "//, false", "/./a, false", "/%41, false", "/a b, false", "/***, false"
  })
  void checksPaths(String path, boolean accepted) {
    DocumentResult result =
        parser.parse("document", utf8(BASE.replace("/a", path)), FragmentSource.NONE);
    assertEquals(accepted, result instanceof DocumentResult.Parsed, result::toString);
  }

  /**
   * Guards against fragments that are missing, replaced or not covered by the document's digest.
   */
  @ParameterizedTest
  @CsvSource({"false, false, true", "true, false, false", "false, true, false"})
  void checksFragments(boolean missing, boolean changed, boolean accepted) {
    String fragment =
        """
        {"workspaces": [{"name": "x", "ratePerSecond": 3, "burstRequests": 4}],
         "routes": [{"name": "r2", "service": "s", "methods": ["GET"], "path": "/b",
                     "workspaces": ["x", "w"], "timeoutMillis": 100}]}
        """;
    String main =
        BASE.replace(
            "\"services\"",
            "\"fragments\": [{\"name\": \"part\", \"sha256\": \""
                + Sha256.hex(utf8(fragment))
                + "\"}], \"services\"");
    FragmentSource source =
        reference ->
            missing ? Optional.empty() : Optional.of(utf8(fragment + (changed ? " " : "")));
    assertEquals(
        List.of(new FragmentReference("part", Sha256.hex(utf8(fragment)))),
        parser.fragmentReferences(utf8(main)));
    DocumentResult result = parser.parse("document", utf8(main), source);
    assertEquals(accepted, result instanceof DocumentResult.Parsed, result::toString);
    if (result instanceof DocumentResult.Parsed parsed) {
      assertEquals(2, parsed.document().routes().size());
      assertEquals(Sha256.hex(utf8(main)), parsed.document().digest());
      assertNotEquals(Sha256.hex(utf8(BASE)), parsed.document().digest());
      assertEquals(Duration.ofMillis(100), parsed.document().routes().get(1).timeout());
    }
  }

  /** Guards against crashes, unbounded work and faults without a remedy on corrupted documents. */
  @Property(tries = 1_000, seed = "20261206")
  void acceptsOrExplainsDamagedDocuments(
      @ForAll int position, @ForAll @IntRange(min = 0, max = 5) int cut, @ForAll byte replacement)
      throws IOException {
    byte[] bytes = Files.readAllBytes(EXAMPLES.resolve("ruapehu.jsonc"));
    int at = Math.floorMod(position, bytes.length);
    byte[] damaged = cut == 0 ? Arrays.copyOf(bytes, at) : bytes;
    if (cut > 0) {
      System.arraycopy(bytes, at, damaged, Math.max(0, at - cut), bytes.length - at);
      damaged[at] = replacement;
    }
    DocumentResult result = parser.parse("document", damaged, FragmentSource.NONE);
    if (result instanceof DocumentResult.Invalid invalid) {
      assertTrue(!invalid.faults().isEmpty());
      invalid.faults().forEach(fault -> assertTrue(!fault.remedy().isEmpty()));
    }
  }
}
