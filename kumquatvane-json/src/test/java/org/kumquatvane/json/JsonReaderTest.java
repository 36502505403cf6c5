package org.kumquatvane.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class JsonReaderTest {
  private static final byte[] SAMPLE =
      "{\"a\":[1,-2.5e3,true,null,\"t\\u00e9xt\"], /* c */ \"b\":{\"c\":{}}} // end\n"
          .getBytes(StandardCharsets.UTF_8);

  private final FaultCollector faults = new FaultCollector();

  private Optional<JsonValue> read(byte[] bytes) {
    return new JsonReader(new JsonLimits(1_000, 4, 50, 100)).read("input", bytes, faults);
  }

  /** Guards against accepting malformed inputs, which other tools interpret differently. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '^',
      value = {
        "{'a':1}| input:1:2: $",
        "{\"a\":01}| input:1:7: $",
        "{\"a\":NaN}| input:1:9: $",
        "{\"a\":1,}| input:1:8: $",
        "[1 2]| input:1:4: $",
        "{\"a\":1} {}| input:1:9: $",
        "# comment| input:1:1: $",
        "{\"a\":\"b| input:1:8: $",
        "{\"a\":1,\"b\":{\"c\":1,\"c\":2}}| input:1:19: $.b.c",
        "[[[[[1]]]]]| input:1:6: $",
      })
  void reportsErrorLocation(String text, String expectedLocation) {
    read(text.getBytes(StandardCharsets.UTF_8));
    assertEquals(
        expectedLocation, faults.faults().get(0).location().toString(), faults.faults().toString());
  }

  /** Guards against silent replacement of malformed UTF-8. */
  @Test
  void reportsTheFirstByteThatIsNotUtf8() {
    byte[] bytes = {'[', '\n', '"', (byte) 0xff, '"', ']'};
    assertTrue(read(bytes).isEmpty());
    assertEquals("input:2:2: $", faults.faults().get(0).location().toString());
  }

  /** Guards against unbounded memory use for long inputs and strings. */
  @ParameterizedTest
  @ValueSource(ints = {60, 300, 2_000})
  void rejectsOversizedInput(int length) {
    read(("\"" + "x".repeat(length) + "\"").getBytes(StandardCharsets.UTF_8));
    assertEquals(1, faults.faults().size());
  }

  /** Guards against a small dense input whose tree takes fifty times its size. */
  @ParameterizedTest
  @CsvSource({"1, 0", "99, 0", "100, 1", "400, 1"})
  void rejectsInputWithTooManyValues(int elements, int expectedFaults) {
    read(("[" + "0,".repeat(elements - 1) + "0]").getBytes(StandardCharsets.UTF_8));
    assertEquals(expectedFaults, faults.faults().size());
  }

  /** Guards against disclosing a secret that lacks quotation marks in a message. */
  @Test
  void doesNotQuoteBareWords() {
    read("{\"fleetSecret\": hunter2}".getBytes(StandardCharsets.UTF_8));
    assertTrue(faults.faults().toString().contains("quotation marks"));
    assertTrue(!faults.faults().toString().contains("hunter2"), faults.faults().toString());
  }

  /** Guards against exceptions on arbitrary bytes: the result is a value or at least one fault. */
  @Property(tries = 2_000, seed = "20261204")
  void readsAnyBytes(@ForAll @Size(max = 80) byte[] bytes) {
    FaultCollector found = new FaultCollector();
    Optional<JsonValue> value =
        new JsonReader(new JsonLimits(1_000, 4, 50, 100)).read("input", bytes, found);
    assertTrue(value.isPresent() || !found.isEmpty());
  }

  /** Guards against exceptions on inputs that are almost valid. */
  @Property(tries = 2_000, seed = "20261205")
  void readsMutatedInputs(@ForAll int position, @ForAll byte replacement, @ForAll int length) {
    byte[] bytes = Arrays.copyOf(SAMPLE, 1 + Math.floorMod(length, SAMPLE.length));
    bytes[Math.floorMod(position, bytes.length)] = replacement;
    readsAnyBytes(bytes);
  }
}
