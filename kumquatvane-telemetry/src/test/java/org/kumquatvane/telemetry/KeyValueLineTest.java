package org.kumquatvane.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.LogField;

class KeyValueLineTest {
  /** Guards against values that inject additional fields or lines. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "plain|plain",
        "two words|\"two words\"",
        "a=b|\"a=b\"",
        "quote\"d|\"quote\\\"d\"",
        "back\\slash|\"back\\\\slash\"",
        "key kv1_AAAAAAAAAAAAAAAAAAAA|\"key [key]\""
      })
  void escapesValues(String value, String expected) {
    assertEquals(expected, KeyValueLine.escape(value));
  }

  /** Guards against input that breaks the format of one line per event. */
  @Property(seed = "7", tries = 500)
  void neverContainsLineBreaks(@ForAll String value) {
    String line = KeyValueLine.format("event", LogField.of("value", value));

    assertFalse(line.chars().anyMatch(Character::isISOControl));
  }
}
