package org.kumquatvane.verification.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Command line of an entry VM in the deploy file. Tests run it as it stands there, since another
 * transport or heap has other faults.
 */
public final class DeployedCommand {
  /** Directory in which the command runs; its paths are relative to it. */
  public static final Path DIRECTORY = Path.of("..").toAbsolutePath().normalize();

  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final String SETTINGS_FILE = "/etc/kumquatvane/boot.json";
  private static final String PROGRAM = "java";
  private static final String JAR_OPTION = "-jar";

  /** Undoes nohup around the tests, below which a Java runtime never gets the reload signal. */
  private static final List<String> DEFAULT_SIGNALS = List.of("env", "--default-signal=HUP");

  private DeployedCommand() {}

  /**
   * Returns the command for a settings file.
   *
   * @param settings the settings file
   * @return the words of the command
   * @throws IOException if the deploy file cannot be read
   */
  public static List<String> withSettings(Path settings) throws IOException {
    List<String> words = new ArrayList<>(supportsDefaultSignals() ? DEFAULT_SIGNALS : List.of());
    for (String word : words()) {
      words.add(word.equals(SETTINGS_FILE) ? settings.toAbsolutePath().toString() : word);
    }
    return words;
  }

  private static boolean supportsDefaultSignals() throws IOException {
    List<String> check = new ArrayList<>(DEFAULT_SIGNALS);
    check.add("true");
    try {
      return new ProcessBuilder(check).start().waitFor() == 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Returns the options of the Java runtime.
   *
   * @return the options
   * @throws IOException if the deploy file cannot be read
   */
  public static List<String> runtimeOptions() throws IOException {
    List<String> words = words();
    return words.subList(words.indexOf(PROGRAM) + 1, words.indexOf(JAR_OPTION));
  }

  private static List<String> words() throws IOException {
    Matcher run = RUN_LINE.matcher(Files.readString(DIRECTORY.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    return List.of(run.group(1).split(" "));
  }
}
