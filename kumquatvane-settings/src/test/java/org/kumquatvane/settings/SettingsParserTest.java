package org.kumquatvane.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kumquatvane.json.Fault;

@UseReporter(QuietReporter.class)
class SettingsParserTest {
  private static final Path EXAMPLE = Path.of("..", "examples", "settings.jsonc");
  private static final String MINIMAL =
      """
      {"vmId": "e1", "failureDomain": "a", "callerListener": {"address": "127.0.0.1", "port": 8080},
       "peerListener": {"address": "::1", "port": 7001}, "fleetSecret": "0123456789abcdef",
       "platform": {"address": "[::1]:8500", "documentName": "d"}, "adminListener": {}}
      """;

  private final SettingsParser parser = new SettingsParser();

  private SettingsResult<Settings> parse(String text) {
    return parser.parse("settings", text.getBytes(StandardCharsets.UTF_8));
  }

  /** Guards against an example file that the parser no longer accepts. */
  @Test
  void acceptsTheExample() throws IOException {
    SettingsResult<Settings> result = parse(Files.readString(EXAMPLE));
    assertInstanceOf(SettingsResult.Parsed.class, result, result::toString);
  }

  /**
   * Guards against defaults that differ from docs/configuration.md and against disclosed secrets.
   */
  @Test
  void fillsInTheDefaults() {
    SettingsResult<Settings> result = parse(MINIMAL);
    SettingsResult.Parsed<?> parsed = assertInstanceOf(SettingsResult.Parsed.class, result);
    Settings settings = assertInstanceOf(Settings.class, parsed.settings());
    assertFalse(settings.toString().contains("0123456789abcdef"));
    Approvals.verify(settings.toString().replace("], ", "],\n"));
  }

  /** Guards against settings that contradict each other. */
  @Test
  void reportsEveryContradiction() {
    String text =
        """
        {"vmId": "", "callerListener": {"address": "localhost", "port": 70000, "protocol": "http3",
                                        "tls": {"certificateFile": "c"}},
         "adminListener": {"address": "0.0.0.0"}, "peerListener": {"address": "1::2::3", "port": 1},
         "fleetSecret": "tooshort", "platform": {"address": "127.0.0.1:99999"},
         "workers": {"threads": 0, "thread": 1}, "bufferedBodyBytes": 1000,
         "maximumBufferedBytes": 999, "drainNoticeMillis": 5000, "drainDeadlineMillis": 5000,
         "heartbeatIntervalMillis": 1000, "promiseMillis": 1999, "floorLeaseMillis": 1998,
         "clockSkewMillis": 5000, "operationRetentionMillis": 5000, "assertions": "on"}
        """;
    SettingsResult<Settings> result = parse(text);
    SettingsResult.Invalid<?> invalid = assertInstanceOf(SettingsResult.Invalid.class, result);
    Approvals.verify(
        invalid.faults().stream().map(Fault::toString).collect(Collectors.joining("\n")));
  }

  /** Guards against an admin API that other machines can reach without a token. */
  @ParameterizedTest
  @CsvSource({
    "127.0.0.1, '', true",
    "127.9.9.9, '', true",
    "::1, '', true",
    "0.0.0.0, '', false",
    "10.0.0.1, '', false",
    "10.0.0.1, 'token: 0123456789abcdef', true",
    "10.0.0.1, 'tokenFile: /etc/token', true",
    "10.0.0.1, 'token: short', false"
  })
  void requiresTokenOffLoopback(String address, String token, boolean accepted) {
    String[] field = token.split(": ");
    String admin =
        "\"adminListener\": {\"address\": \""
            + address
            + "\""
            + (token.isEmpty() ? "" : ", \"" + field[0] + "\": \"" + field[1] + "\"")
            + "}";
    SettingsResult<Settings> result = parse(MINIMAL.replace("\"adminListener\": {}", admin));
    assertEquals(accepted, result instanceof SettingsResult.Parsed<Settings>, result::toString);
  }

  /** Guards against crashes on damaged settings. */
  @Property(tries = 1_000, seed = "20261207")
  void acceptsOrExplainsDamagedSettings(@ForAll int position, @ForAll char replacement) {
    int at = Math.floorMod(position, MINIMAL.length());
    SettingsResult<Settings> result =
        parse(MINIMAL.substring(0, at) + replacement + MINIMAL.substring(at + 1));
    if (result instanceof SettingsResult.Invalid<Settings> invalid) {
      assertTrue(!invalid.faults().isEmpty());
    }
  }
}
