package org.kumquatvane.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.core.SocketEndpoint;

class EntrySettingsParserTest {
  private static final String MINIMAL =
      """
      {"vmName": "vm-1", "failureDomain": "a", "callerAddress": "10.1.0.5:8405",
       "operatorAddress": "10.1.0.5:8406", "peerAddress": "10.1.0.5:8407",
       "seeds": ["10.1.0.6:8407"], "sourceAddress": "10.9.0.1:8408", "stopGraceSeconds": 6,
       "fleetSecret": "sixteen-characters-or-more"}
      """;

  private static SettingsResult<EntrySettings> parse(String text) {
    return new EntrySettingsParser().parse("entry.json", text.getBytes(StandardCharsets.UTF_8));
  }

  private static EntrySettings valid(String text) {
    SettingsResult.Parsed<?> parsed = assertInstanceOf(SettingsResult.Parsed.class, parse(text));
    return assertInstanceOf(EntrySettings.class, parsed.settings());
  }

  /** Guards against defaults that differ from docs/configuration.md. */
  @Test
  void fillsInTheDefaults() {
    EntrySettings settings = valid(MINIMAL);
    assertEquals(List.of(new SocketEndpoint("10.1.0.6", 8407)), settings.seeds());
    assertEquals(settings.peerEndpoint(), settings.peerListenEndpoint());
    assertEquals(new RetryBudgetSettings(0.2, 20, Duration.ofSeconds(10)), settings.retryBudget());
    assertEquals(new LimitSlackSettings(0, 0), settings.limitSlack());
  }

  /** Guards against rejecting a bound that became fractional because users scaled it. */
  @Test
  void acceptsFractionalBounds() {
    EntrySettings settings =
        valid(
            MINIMAL.replace(
                "\"seeds\"",
                "\"retryBudget\": {\"fixed\": 23.65, \"windowSeconds\": 9.5},"
                    + " \"limitSlack\": {\"overage\": 0.25, \"requests\": 2.4}, \"seeds\""));
    assertEquals(
        new RetryBudgetSettings(0.2, 23.65, Duration.ofMillis(9_500)), settings.retryBudget());
    assertEquals(new LimitSlackSettings(0.25, 2.4), settings.limitSlack());
  }

  /**
   * Guards against a VM behind network address translation that listens on its advertised address.
   */
  @Test
  void readsSeparatePeerListenAddress() {
    String text =
        MINIMAL.replace("\"seeds\"", "\"peerListenAddress\": \"10.1.0.5:9000\", \"seeds\"");
    assertEquals(new SocketEndpoint("10.1.0.5", 9000), valid(text).peerListenEndpoint());
    assertEquals(new SocketEndpoint("10.1.0.5", 8407), valid(text).peerEndpoint());
  }

  /** Guards against a start with mistyped or out-of-range settings. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "10.1.0.5:8407     | 10.1.0.5:84070  | peerAddress",
        "10.1.0.6:8407     | seed            | seeds",
        "sixteen-characters-or-more | short  | fleetSecret",
        "\"stopGraceSeconds\": 6 | \"stopGraceSeconds\": 0 | stopGraceSeconds",
        "\"seeds\"         | \"seed\"        | seeds",
        "vm-1              | two words       | vmName"
      })
  void reportsFaultyField(String text, String replacement, String field) {
    SettingsResult.Invalid<?> invalid =
        assertInstanceOf(SettingsResult.Invalid.class, parse(MINIMAL.replace(text, replacement)));
    assertEquals(
        invalid.faults().stream().distinct().toList(), invalid.faults(), "each fault once");
    assertTrue(
        invalid.faults().stream().anyMatch(fault -> fault.toString().contains(field)),
        invalid.faults()::toString);
  }
}
